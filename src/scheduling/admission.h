#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "scheduling/job_group.h"
#include "scheduling/shard_state.h"
#include "scheduling/worker_selector.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattanmount::scheduling {

/// Why a job cannot start. The rules up to pool_share are checked first, in this order. If no worker can take
/// the job, reservation is reported rather than only_failed_workers if both apply.
enum class block_reason : std::uint8_t {
    none,                ///< Nothing blocks it.
    unknown_pool,        ///< No policy is known for its pool.
    no_worker,           ///< No worker accepts tasks now.
    team_quota,          ///< Its team would exceed its quota.
    pool_share,          ///< Its pool would exceed its share of the shard.
    no_capacity,         ///< It fits on no worker now.
    only_failed_workers, ///< It fits only on workers on which it failed.
    reservation          ///< It would delay a job that has a reservation.
};

/// Whether and where a job may start now.
struct admission_result {
    block_reason blocked_by = block_reason::none;
    core::resources size;        ///< Effective size of one task.
    std::vector<row_index> rows; ///< The worker of each task that starts: all tasks of a gang, otherwise one.
    placement_reason reason;
    core::milliseconds estimated_run_time{0};
};

/// Decides whether and where a job may start. scheduler::place() and scheduler::explain() share these rules.
///
/// Usable for several decisions at one point in time; only reads the shard's state. The policies in the
/// accounts must have been refreshed.
class admission {
public:
    admission(const shard_state& state, core::steady_time now);

    /// Checks all rules for a job.
    /// @param group the job's group.
    /// @param job a job with waiting tasks.
    /// @param backfill whether the job must not delay the current reservation of another job.
    [[nodiscard]] admission_result check(const job_group& group, const tracked_job& job, bool backfill) const;

    /// @param tasks how many tasks start together.
    /// @return the effective size of one task: the declared or the estimated size, whichever is larger. The
    ///         estimate is capped so that the tasks still fit the quota and the workers.
    [[nodiscard]] core::resources effective_size(const job_group& group, std::size_t tasks) const;

    /// @return how many tasks of a job start together: all waiting tasks of a gang, otherwise 1.
    [[nodiscard]] static std::size_t tasks_together(const job_group& group, const tracked_job& job) {
        return group.is_gang ? job.waiting_tasks.size() : 1;
    }

    /// @return the estimated run time of one task; core::milliseconds::max() for a service.
    [[nodiscard]] core::milliseconds estimated_run_time(const job_group& group, const tracked_job& job) const;

    /// @return the workers on which the job failed; empty if it could run on no other worker even when empty.
    [[nodiscard]] std::vector<row_index> avoided_rows(const tracked_job& job,
                                                      const core::resources& size) const;

    [[nodiscard]] const worker_selector& worker_selection() const { return this->selector; }

    /// Checks the rules that do not depend on the free capacity of single workers.
    /// @param requested the effective size of all tasks that start together.
    /// @return the first rule that blocks the group, or block_reason::none.
    [[nodiscard]] block_reason check_limits(const job_group& group, const core::resources& requested) const;

private:
    row_index probe_row(const job_group& group, const tracked_job& job, const core::resources& size) const;
    std::vector<std::uint32_t> count_by_rack(const tracked_job& job) const;

    const shard_state& state;
    core::steady_time now;
    worker_selector selector;
};

} // namespace rattanmount::scheduling
