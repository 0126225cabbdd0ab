#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "scheduling/job_group.h"
#include "scheduling/room_finder.h"
#include "scheduling/shard_state.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattanmount::scheduling {

/// The rules that may stop a job, in the order in which they are asked.
enum class gate : std::uint8_t {
    open,         ///< None stops it.
    pool_unknown, ///< No policy is known for its pool.
    no_worker,    ///< No worker gets tasks now.
    team_quota,   ///< Its team would hold more than its quota.
    pool_share,   ///< Its pool would hold more than its share of the shard.
    room,         ///< It fits on no worker now.
    failed_there, ///< It fits only on workers that failed it.
    reservation   ///< It would delay a job for which room is kept.
};

/// The answer to whether a job may start now.
struct admission_result {
    gate stopped_by = gate::open;
    core::resources size;        ///< What one task counts with.
    std::vector<row_index> rows; ///< One for each task that starts: all of a gang, one of others.
    choice reason;
    core::milliseconds expected_time{0};
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
    [[nodiscard]] admission_result check(const job_group& group, const waiting_job& job, bool backfill) const;

    /// @return what one task of a group counts with: declared or corrected, what is larger; corrected only as
    ///         far as it can still be placed.
    [[nodiscard]] core::resources counted_size(const job_group& group, std::size_t tasks) const;

    /// @return how many tasks of a job start together.
    [[nodiscard]] static std::size_t tasks_together(const job_group& group, const waiting_job& job) {
        return group.gang ? job.waiting.size() : 1;
    }

    /// @return how long one task of a job runs by the estimates; core::milliseconds::max() for a service.
    [[nodiscard]] core::milliseconds expected_time(const job_group& group, const waiting_job& job) const;

    /// @return workers that failed the job and that it can do without.
    [[nodiscard]] std::vector<row_index> avoided_rows(const waiting_job& job,
                                                      const core::resources& size) const;

    [[nodiscard]] const room_finder& finder() const { return this->rooms; }

    /// @param wanted what all tasks that start together count with.
    /// @return the first rule that stops a group whatever room there is, or gate::open.
    [[nodiscard]] gate before_room(const job_group& group, const core::resources& wanted) const;

private:
    row_index probe_row(const job_group& group, const waiting_job& job, const core::resources& size) const;
    std::vector<std::uint32_t> job_by_rack(const waiting_job& job) const;

    const shard_state& state;
    core::steady_time now;
    room_finder rooms;
};

} // namespace rattanmount::scheduling
