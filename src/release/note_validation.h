#pragma once

#include "release/release_note.h"

#include <string>
#include <vector>

namespace rattanmount::release {

/// Upper limits of a release note.
struct note_limits {
    static constexpr std::size_t max_items = 1000;
    static constexpr std::size_t max_name_bytes = 128;
    static constexpr std::uint32_t max_priority = 1000;
    static constexpr std::uint32_t max_weight = 1'000'000;
    static constexpr std::uint32_t max_queue = 10'000'000;
    static constexpr core::milliseconds max_quick_limit = std::chrono::hours{24};
};

/// Checks what can be checked without the policies in force.
/// @param note a release note.
/// @return all faults, each with its place such as "items[2].pool.weight: ..."; empty where there is none.
[[nodiscard]] std::vector<std::string> faults_of(const release_note& note);

/// @param faults faults.
/// @return them as one text.
[[nodiscard]] std::string join_faults(const std::vector<std::string>& faults);

} // namespace rattanmount::release
