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
struct team_queue_key {
    core::pool_id pool;
    core::team_id team;

    friend auto operator<=>(const team_queue_key&, const team_queue_key&) = default;
};

/// What is true of all groups of a lane.
struct size_bounds {
    core::resources smallest; ///< Where this fits nowhere, nothing of the lane does.
    core::resources largest;
    bool has_gang = false; ///< Some group is a gang.
};

/// The waiting work of one team in one pool: its groups, the one whose head waits longest first.
///
/// Owned by the waiting queue; the control thread only.
struct team_queue {
    /// Orders groups that have jobs.
    struct older_head_first {
        bool operator()(const job_group* left, const job_group* right) const {
            return older_job_first{}(&left->head(), &right->head());
        }
    };

    team_account& team;
    pool_account& pool;
    std::set<job_group*, older_head_first> groups;
    std::optional<core::steady_time> last_served; ///< When a task of it was placed last.
    std::uint64_t candidate_round = 0;            ///< The pass in which it is a candidate.
    std::optional<size_bounds> cached_bounds;     ///< Empty where a group has left since they were found.

    /// @return the bounds of its groups; there must be a group.
    const size_bounds& bounds() {
        if (!this->cached_bounds.has_value()) {
            for (const auto* group : this->groups) {
                this->extend_bounds(*group);
            }
        }
        return *this->cached_bounds;
    }

    /// Counts one more group in the bounds.
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
