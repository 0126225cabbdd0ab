#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "scheduling/accounts.h"
#include "scheduling/job_group.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

namespace rattanmount::scheduling {

/// Names the queue of one team in one pool.
struct lane_key {
    core::pool_id pool;
    core::team_id team;

    friend auto operator<=>(const lane_key&, const lane_key&) = default;
};

/// The waiting work of one team in one pool: its groups, the one whose head waits longest first.
///
/// Owned by the waiting queue; the control thread only.
struct team_lane {
    /// Orders groups that have jobs.
    struct head_waits_longer {
        bool operator()(const job_group* left, const job_group* right) const {
            return waits_longer{}(&left->head(), &right->head());
        }
    };

    team_account& team;
    pool_account& pool;
    std::set<job_group*, head_waits_longer> groups;
    std::optional<core::steady_time> last_served; ///< When a task of it was placed last.
    std::uint64_t pass = 0;                       ///< The pass in which it is a candidate.
};

} // namespace rattanmount::scheduling
