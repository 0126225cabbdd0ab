#pragma once

#include "core/ids.h"
#include "release/release_note.h"

#include <string>

namespace rattanmount::release {

/// The last policy of one pool or team, and the note that set or withdrew it.
/// @tparam Policy pool_policy or team_policy.
template <typename Policy>
struct policy_record {
    Policy last;                ///< The policy in force or, if withdrawn, the one before the withdrawal.
    core::revision_id revision; ///< The number of notes that changed it, including withdrawals.
    bool in_force = false;
    core::note_id changed_by;
    std::string author;

    friend bool operator==(const policy_record&, const policy_record&) = default;
};

using pool_record = policy_record<pool_policy>;
using team_record = policy_record<team_policy>;

} // namespace rattanmount::release
