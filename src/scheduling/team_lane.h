#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "scheduling/accounts.h"
#include "scheduling/dimension.h"
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

/// What is true of all groups of a lane.
struct lane_bounds {
    core::resources smallest; ///< Where this fits nowhere, nothing of the lane does.
    core::resources largest;
    bool gangs = false; ///< Some group is a gang.
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
    std::optional<lane_bounds> known_bounds;      ///< Empty where a group has left since they were found.

    /// @return the bounds of its groups; there must be a group.
    const lane_bounds& bounds() {
        if (!this->known_bounds.has_value()) {
            for (const auto* group : this->groups) {
                this->widen(*group);
            }
        }
        return *this->known_bounds;
    }

    /// Counts one more group in the bounds.
    void widen(const job_group& group) {
        if (!this->known_bounds.has_value()) {
            this->known_bounds =
                lane_bounds{.smallest = group.each, .largest = group.each, .gangs = group.gang};
        }
        this->known_bounds->smallest = smaller(this->known_bounds->smallest, group.each);
        this->known_bounds->largest = larger(this->known_bounds->largest, group.each);
        this->known_bounds->gangs = this->known_bounds->gangs || group.gang;
    }
};

} // namespace rattanmount::scheduling
