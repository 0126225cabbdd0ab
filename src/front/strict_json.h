#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace rattanmount::front {

/// Whether a text may hold comments.
enum class json_comments : std::uint8_t { refused, allowed };

/// Reads JSON that is taken only when nothing in it would be lost: no duplicate fields, no text after its
/// end, comments only where they are allowed, at most 32 levels deep.
/// @param text the JSON.
/// @param comments whether // and /* */ are passed over, which files that people write may have.
/// @return the value.
/// @throws core::invalid_argument with the line and column, or the field, where it is not of that form.
[[nodiscard]] nlohmann::json parse_json(const std::string& text,
                                        json_comments comments = json_comments::refused);

/// @param value what to write.
/// @return JSON on one line; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string write_json(const nlohmann::json& value);

} // namespace rattanmount::front
