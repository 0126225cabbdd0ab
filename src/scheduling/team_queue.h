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

/// Identifies the queue of one team in one pool.
struct team_queue_key {
    core::pool_id pool;
    core::team_id team;

    friend auto operator<=>(const team_queue_key&, const team_queue_key&) = default;
};

/// Bounds on the task sizes of all groups of a team queue.
struct size_bounds {
    /// Smallest amount of each resource: if this fits on no worker, no task of the queue does.
    core::resources smallest;
    core::resources largest; ///< Largest amount of each resource.
    bool has_gang = false;   ///< At least one group is a gang.
};

/// The waiting jobs of one team in one pool, in groups ordered by the waiting time of their first job.
///
/// Owned by the waiting queue; used on the control thread only.
struct team_queue {
    /// Orders groups by the waiting time of their first job, the longest first. The groups must have jobs.
    struct older_head_first {
        bool operator()(const job_group* left, const job_group* right) const {
            return older_job_first{}(&left->head(), &right->head());
        }
    };

    team_account& team;
    pool_account& pool;
    std::set<job_group*, older_head_first> groups;
    std::optional<core::steady_time> last_served; ///< When a task of this queue was last placed.
    std::uint64_t candidate_round = 0;            ///< The placement round in which it is still a candidate.
    std::optional<size_bounds> cached_bounds;     ///< Empty if a group was removed since they were computed.

    /// Returns the bounds of the groups, computed on first use. There must be at least one group.
    const size_bounds& bounds() {
        if (!this->cached_bounds.has_value()) {
            for (const auto* group : this->groups) {
                this->extend_bounds(*group);
            }
        }
        return *this->cached_bounds;
    }

    /// Extends the cached bounds by one group.
    void extend_bounds(const job_group& group) {
        if (!this->cached_bounds.has_value()) {
            this->cached_bounds =
                size_bounds{.smallest = group.each, .largest = group.each, .has_gang = group.is_gang};
        }
        this->cached_bounds->smallest = elementwise_min(this->cached_bounds->smallest, group.each);
        this->cached_bounds->largest = elementwise_max(this->cached_bounds->largest, group.each);
        this->cached_bounds->has_gang = this->cached_bounds->has_gang || group.is_gang;
    }
};

} // namespace rattanmount::scheduling
