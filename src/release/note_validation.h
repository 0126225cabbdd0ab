#pragma once

#include "release/release_note.h"

#include <string>
#include <vector>

namespace rattanmount::release {

/// Upper limits of the values in a release note.
struct note_limits {
    static constexpr std::size_t max_items = 1000;
    static constexpr std::size_t max_name_bytes = 128;
    static constexpr std::uint32_t max_priority = 1000;
    static constexpr std::uint32_t max_weight = 1'000'000;
    static constexpr std::uint32_t max_queue = 10'000'000;
    static constexpr core::milliseconds max_quick_limit = std::chrono::hours{24};
};

/// Checks everything that can be checked without knowing the policies in force.
/// @return all errors, each with its path, such as "items[2].pool.weight: ..."; empty if the note is valid.
[[nodiscard]] std::vector<std::string> validate(const release_note& note);

/// @return the errors as one line, separated by "; ".
[[nodiscard]] std::string join_errors(const std::vector<std::string>& errors);

} // namespace rattanmount::release
