#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace rattanmount::front {

/// Reads JSON that is taken only when nothing in it would be lost: no duplicate fields, no text after its
/// end, no comments, at most 32 levels deep.
/// @param text the JSON.
/// @return the value.
/// @throws core::invalid_argument with the line and column, or the field, where it is not of that form.
[[nodiscard]] nlohmann::json parse_json(const std::string& text);

/// @param value what to write.
/// @return JSON on one line; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string write_json(const nlohmann::json& value);

} // namespace rattanmount::front
