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

/// The rules that may stop a job, in the order in which they are asked.
enum class block_reason : std::uint8_t {
    none,                ///< None stops it.
    unknown_pool,        ///< No policy is known for its pool.
    no_worker,           ///< No worker gets tasks now.
    team_quota,          ///< Its team would hold more than its quota.
    pool_share,          ///< Its pool would hold more than its share of the shard.
    no_capacity,         ///< It fits on no worker now.
    only_failed_workers, ///< It fits only on workers that failed it.
    reservation          ///< It would delay a job for which room is kept.
};

/// The answer to whether a job may start now.
struct admission_result {
    block_reason blocked_by = block_reason::none;
    core::resources size;        ///< What one task counts with.
    std::vector<row_index> rows; ///< One for each task that starts: all of a gang, one of others.
    placement_reason reason;
    core::milliseconds estimated_run_time{0};
};

/// Decides whether a job may start and where. The same rules serve place() and explain().
///
/// Made for one decision or more at one time; reads the shard's state only. Policies in the accounts must
/// have been refreshed.
class admission {
public:
    admission(const shard_state& state, core::steady_time now);

    /// @param group the job's group.
    /// @param job a job with tasks that wait.
    /// @param backfill whether room kept for another job is out of bounds.
    /// @return whether it may start, and where.
    [[nodiscard]] admission_result check(const job_group& group, const tracked_job& job, bool backfill) const;

    /// @return what one task of a group counts with: declared or corrected, what is larger; corrected only as
    ///         far as it can still be placed.
    [[nodiscard]] core::resources effective_size(const job_group& group, std::size_t tasks) const;

    /// @return how many tasks of a job start together.
    [[nodiscard]] static std::size_t tasks_together(const job_group& group, const tracked_job& job) {
        return group.is_gang ? job.waiting_tasks.size() : 1;
    }

    /// @return how long one task of a job runs by the estimates; core::milliseconds::max() for a service.
    [[nodiscard]] core::milliseconds estimated_run_time(const job_group& group, const tracked_job& job) const;

    /// @return workers that failed the job and that it can do without.
    [[nodiscard]] std::vector<row_index> avoided_rows(const tracked_job& job,
                                                      const core::resources& size) const;

    [[nodiscard]] const worker_selector& worker_selection() const { return this->selector; }

    /// @param wanted what all tasks that start together count with.
    /// @return the first rule that stops a group whatever room there is, or gate::open.
    [[nodiscard]] block_reason check_limits(const job_group& group, const core::resources& requested) const;

private:
    row_index probe_row(const job_group& group, const tracked_job& job, const core::resources& size) const;
    std::vector<std::uint32_t> count_by_rack(const tracked_job& job) const;

    const shard_state& state;
    core::steady_time now;
    worker_selector selector;
};

} // namespace rattanmount::scheduling
