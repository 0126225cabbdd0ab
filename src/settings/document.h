#pragma once

#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace rattanmount::settings {

/// A parsed JSON text with comments.
struct document {
    nlohmann::json root;
    std::vector<fault> duplicates; ///< Keys that an object contains twice; the first value is kept.
};

/// Parses a JSON text with comments.
/// @return the values, and the keys that are given twice at any depth.
/// @throws settings_error with line and column if the text is not JSON.
[[nodiscard]] document parse_document(const std::string& text);

} // namespace rattanmount::settings
