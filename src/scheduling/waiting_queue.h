#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/account_table.h"
#include "scheduling/estimate_cache.h"
#include "scheduling/job_group.h"
#include "scheduling/team_queue.h"

#include <cstddef>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace rattanmount::scheduling {

/// The jobs of a shard and their tasks that wait, in groups of equal needs.
///
/// Owned by the scheduler; the control thread only. Adding or removing a job costs time that grows with its
/// own tasks and the logarithm of the jobs in its group, so a wave of cancellations is cheap.
class waiting_queue {
public:
    /// @param accounts where the accounts of teams and pools are kept; outlives the queue.
    /// @param estimates what was seen of them; outlives the queue.
    waiting_queue(account_table& accounts, estimate_cache& estimates)
        : accounts(accounts), estimates(estimates) {}

    /// @return the job, new or known.
    tracked_job& add(const core::job_spec& spec, core::steady_time since);

    void remove(const core::job_id& id);

    /// @return the job, or nullptr where it is not known.
    [[nodiscard]] tracked_job* find(const core::job_id& id) const;

    /// Lets a task wait; no effect where it waits or is placed.
    void enqueue(tracked_job& job, std::uint32_t task);

    /// Takes a waiting task out, as placed; where it did not wait it only counts as placed.
    void mark_placed(tracked_job& job, std::uint32_t task, const core::worker_id& worker);

    /// A placed task is over or dropped.
    static void mark_not_placed(tracked_job& job, std::uint32_t task) { job.placed_on.erase(task); }

    /// Changes since when a job waits.
    void set_waiting_since(tracked_job& job, core::steady_time since);

    /// Drops groups without jobs and lanes without groups. Until then references to them stay valid.
    void remove_empty();

    /// @return all groups; some may have no jobs.
    [[nodiscard]] const std::map<group_key, std::unique_ptr<job_group>>& groups() const {
        return this->groups_by_key;
    }

    /// @return the lanes, those of one pool side by side; some may have no groups.
    [[nodiscard]] const std::map<team_queue_key, std::unique_ptr<team_queue>>& team_queues() const {
        return this->queues_by_team;
    }

    [[nodiscard]] std::size_t waiting_task_count() const { return this->task_count; }

    /// @return the sum of the declared sizes of all tasks that wait.
    [[nodiscard]] const core::resources& waiting_demand() const { return this->total_demand; }

private:
    static group_key key_of(const core::job_spec& spec);
    team_queue& queue_of(const core::job_spec& spec);
    void add_to_group(tracked_job& job);
    void remove_from_group(tracked_job& job);

    account_table& accounts;
    estimate_cache& estimates;
    std::unordered_map<core::job_id, std::unique_ptr<tracked_job>> jobs;
    std::map<group_key, std::unique_ptr<job_group>> groups_by_key;
    std::map<team_queue_key, std::unique_ptr<team_queue>> queues_by_team;
    std::vector<group_key> emptied_groups;
    std::uint64_t next_serial = 1;
    std::size_t task_count = 0;
    core::resources total_demand;
};

} // namespace rattanmount::scheduling
