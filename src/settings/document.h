#pragma once

#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattanmount::settings {

/// A JSON text with comments, parsed.
struct document {
    nlohmann::json root;
    std::vector<fault> duplicates; ///< Keys that stand twice in one object; the first value was kept.
};

/// Parses a JSON text with comments.
/// @param text the text.
/// @return its values and the keys that were given twice at any depth.
/// @throws settings_error with line and column where the text is no JSON.
[[nodiscard]] document parse_document(const std::string& text);

} // namespace rattanmount::settings
