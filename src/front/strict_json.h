#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace rattanmount::front {

/// Whether the parser accepts comments.
enum class json_comments : std::uint8_t { refused, allowed };

/// Parses JSON strictly, so that no part of the text is silently ignored: duplicate fields, text after the
/// end, more than 32 levels of nesting and, by default, comments are errors.
/// @param text the JSON text.
/// @param comments whether // and /* */ comments are skipped, for files that people write by hand.
/// @throws core::invalid_argument if the text is not valid; the message names the line and column, or the
/// field.
[[nodiscard]] nlohmann::json parse_json(const std::string& text,
                                        json_comments comments = json_comments::refused);

/// @return the value as JSON on one line; bytes that are not valid UTF-8 become U+FFFD.
[[nodiscard]] std::string write_json(const nlohmann::json& value);

} // namespace rattanmount::front
