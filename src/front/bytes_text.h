#pragma once

#include <string>

namespace rattanmount::front {

/// @param bytes any bytes.
/// @return whether they are valid UTF-8, so that JSON can hold them as text.
[[nodiscard]] bool is_utf8(const std::string& bytes);

/// @param bytes any bytes.
/// @return them in Base64, on one line.
[[nodiscard]] std::string encode_base64(const std::string& bytes);

/// @param text Base64.
/// @return the bytes.
/// @throws core::invalid_argument where the text is not Base64.
[[nodiscard]] std::string decode_base64(const std::string& text);

} // namespace rattanmount::front
