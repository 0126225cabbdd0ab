#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "release/release_note.h"

#include <cstdint>
#include <vector>

namespace rattanmount::scheduling {

/// What one team holds on the shard, and its policy as last looked up.
struct team_account {
    core::team_id name;
    core::resources allocated;
    core::resources remote_usage;                 ///< Held on other shards, a hint.
    const release::team_policy* policy = nullptr; ///< Valid for the call in which it was looked up.
    std::uint64_t lookup_round = 0;               ///< The lookup round of policy and remote.

    /// @return what the team's quota allows; an amount of 0 is no limit.
    [[nodiscard]] core::resources quota() const {
        return this->policy == nullptr ? core::resources{} : this->policy->quota;
    }
};

/// What one pool holds on the shard, and its policy as last looked up.
struct pool_account {
    core::pool_id name;
    core::resources allocated;
    std::vector<std::uint32_t> tasks_by_rack;     ///< Indexed as worker_table numbers its racks.
    const release::pool_policy* policy = nullptr; ///< Valid for the call in which it was looked up.
    std::uint64_t lookup_round = 0;               ///< The lookup round of the policy.

    [[nodiscard]] bool is_urgent() const { return this->policy != nullptr && this->policy->urgent; }
};

} // namespace rattanmount::scheduling
