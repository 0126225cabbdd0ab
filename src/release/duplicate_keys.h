#pragma once

#include <string>
#include <vector>

namespace rattanmount::release {

/// Finds keys that stand twice in one object, which JSON readers pass over in silence.
/// @param json JSON with comments.
/// @return one fault for each, with its place such as "items[2].pool.weight: stands twice"; empty where
///         there is none, or where the text is not JSON at all.
[[nodiscard]] std::vector<std::string> repeated_keys(const std::string& json);

} // namespace rattanmount::release
