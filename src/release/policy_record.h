#pragma once

#include "core/ids.h"
#include "release/release_note.h"

#include <string>

namespace rattanmount::release {

/// What is known of one name: its last policy and the note that set or withdrew it.
/// @tparam Policy pool_policy or team_policy.
template <typename Policy>
struct policy_record {
    Policy last;                ///< In force, or the last one before it was withdrawn.
    core::revision_id revision; ///< Counts the notes that changed it, its withdrawals included.
    bool in_force = false;
    core::note_id changed_by;
    std::string author;

    friend bool operator==(const policy_record&, const policy_record&) = default;
};

using pool_record = policy_record<pool_policy>;
using team_record = policy_record<team_policy>;

} // namespace rattanmount::release
