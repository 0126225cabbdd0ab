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

/// What the jobs of a group have in common.
struct group_key {
    core::pool_id pool;
    core::team_id team;
    core::request_key gang; ///< The key of the one job of a gang's group; else empty.
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    int run_time_class = 0; ///< Logarithm of the declared run time, so that short work may pass long work.

    friend auto operator<=>(const group_key&, const group_key&) = default;
};

/// Jobs of one team in one pool whose tasks have the same size and run about as long: where one does not fit,
/// none does.
///
/// Owned by the waiting queue; the control thread only.
class job_group {
public:
    job_group(team_queue& queue, team_account& team, pool_account& pool, std::shared_ptr<estimate> history,
              const core::resources& each, bool gang)
        : queue(queue), team(team), pool(pool), estimates(std::move(history)), each(each), is_gang(gang) {}

    /// @return the job that waits longest; there must be one.
    [[nodiscard]] tracked_job& head() const { return **this->jobs.begin(); }

    team_queue& queue;
    team_account& team;
    pool_account& pool;
    std::shared_ptr<estimate> estimates;
    core::resources each; ///< As declared.
    bool is_gang;
    std::set<tracked_job*, older_job_first> jobs;
    bool blocked_by_reservation = false; ///< A reservation for another job stopped it in its last decision.
};

} // namespace rattanmount::scheduling
