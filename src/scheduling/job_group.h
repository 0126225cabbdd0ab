#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "scheduling/accounts.h"
#include "scheduling/estimate.h"
#include "scheduling/tracked_job.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <set>

namespace rattanmount::scheduling {

struct team_queue;

/// The properties that all jobs of a group share.
struct group_key {
    core::pool_id pool;
    core::team_id team;
    core::request_key gang; ///< The job's key for a gang, which has a group of its own; otherwise empty.
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    /// Binary logarithm of the declared run time: short jobs may backfill past long ones.
    int run_time_class = 0;

    friend auto operator<=>(const group_key&, const group_key&) = default;
};

/// Jobs of one team in one pool whose tasks have the same size and a similar run time: if one does not fit,
/// none does.
///
/// Owned by the waiting queue; used on the control thread only.
class job_group {
public:
    job_group(team_queue& queue, team_account& team, pool_account& pool, std::shared_ptr<estimate> history,
              const core::resources& each, bool gang)
        : queue(queue), team(team), pool(pool), estimates(std::move(history)), each(each), is_gang(gang) {}

    /// @return the job that has waited longest. There must be at least one job.
    [[nodiscard]] tracked_job& head() const { return **this->jobs.begin(); }

    team_queue& queue;
    team_account& team;
    pool_account& pool;
    std::shared_ptr<estimate> estimates;
    core::resources each; ///< Declared size of one task.
    bool is_gang;
    std::set<tracked_job*, older_job_first> jobs;
    /// Set if another job's reservation blocked it in the last decision.
    bool blocked_by_reservation = false;
};

} // namespace rattanmount::scheduling
