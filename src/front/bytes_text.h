#pragma once

#include <string>

namespace rattanmount::front {

/// @return whether the bytes are valid UTF-8, so that a JSON string can hold them.
[[nodiscard]] bool is_utf8(const std::string& bytes);

/// @return the bytes in Base64, on one line.
[[nodiscard]] std::string encode_base64(const std::string& bytes);

/// @throws core::invalid_argument if the text is not Base64.
[[nodiscard]] std::string decode_base64(const std::string& text);

} // namespace rattanmount::front
