#pragma once

#include <string>

namespace rattanmount::external {

/// Encodes bytes in base64, without line breaks.
[[nodiscard]] std::string base64_encode(const std::string& bytes);

/// Decodes base64 text.
/// @throws core::invalid_argument if the text is not base64 as base64_encode() writes it.
[[nodiscard]] std::string base64_decode(const std::string& text);

} // namespace rattanmount::external
