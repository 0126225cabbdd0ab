#pragma once

#include <string>
#include <vector>

namespace rattanmount::release {

/// Finds keys that occur more than once in the same object. JSON parsers silently keep only the last one.
/// @param json JSON, comments allowed.
/// @return one error per duplicate, with its path, such as "items[2].pool.weight: duplicate key"; empty if
///         there are none or if the text is not valid JSON.
[[nodiscard]] std::vector<std::string> find_duplicate_keys(const std::string& json);

} // namespace rattanmount::release
