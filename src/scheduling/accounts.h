#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "release/release_note.h"

#include <cstdint>
#include <vector>

namespace rattanmount::scheduling {

/// The resources allocated to one team on the shard and the team's policy.
struct team_account {
    core::team_id name;
    core::resources allocated;
    /// Allocated on other shards as last known; may be out of date.
    core::resources remote_usage;
    const release::team_policy* policy = nullptr; ///< Valid only during the scheduler call that looked it up.
    /// The round in which policy and remote usage were looked up.
    std::uint64_t lookup_round = 0;

    /// @return the team's quota; an amount of 0 means no limit.
    [[nodiscard]] core::resources quota() const {
        return this->policy == nullptr ? core::resources{} : this->policy->quota;
    }
};

/// The resources allocated to one pool on the shard and the pool's policy.
struct pool_account {
    core::pool_id name;
    core::resources allocated;
    std::vector<std::uint32_t> tasks_by_rack;     ///< Indexed by the rack numbers of worker_table.
    const release::pool_policy* policy = nullptr; ///< Valid only during the scheduler call that looked it up.
    std::uint64_t lookup_round = 0;               ///< The round in which the policy was looked up.

    [[nodiscard]] bool is_urgent() const { return this->policy != nullptr && this->policy->urgent; }
};

} // namespace rattanmount::scheduling
