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

/// The jobs of a shard and their waiting tasks, in groups with the same requirements.
///
/// Owned by the scheduler; used on the control thread only. Adding or removing a job takes time linear in its
/// tasks and logarithmic in the jobs of its group, because many jobs may be cancelled in a row.
class waiting_queue {
public:
    /// @param accounts the accounts of teams and pools; must outlive the queue.
    /// @param estimates the estimates per team and pool; must outlive the queue.
    waiting_queue(account_table& accounts, estimate_cache& estimates)
        : accounts(accounts), estimates(estimates) {}

    /// Adds a job with no waiting tasks.
    /// @return the new job, or the known job unchanged.
    tracked_job& add(const core::job_spec& spec, core::steady_time since);

    void remove(const core::job_id& id);

    /// @return the job, or nullptr if it is not known.
    [[nodiscard]] tracked_job* find(const core::job_id& id) const;

    /// Adds a task to the queue. No effect if it is already waiting or placed.
    void enqueue(tracked_job& job, std::uint32_t task);

    /// Marks a task as placed and removes it from the queue if it is waiting.
    void mark_placed(tracked_job& job, std::uint32_t task, const core::worker_id& worker);

    /// Called when a placed task has ended or its placement was dropped. Does not queue it again.
    static void mark_not_placed(tracked_job& job, std::uint32_t task) { job.placed_on.erase(task); }

    /// Sets when a job started to wait and reorders it.
    void set_waiting_since(tracked_job& job, core::steady_time since);

    /// Removes groups without jobs and team queues without groups. References to them stay valid until this
    /// call.
    void remove_empty();

    /// @return all groups, including empty ones that remove_empty() has not yet removed.
    [[nodiscard]] const std::map<group_key, std::unique_ptr<job_group>>& groups() const {
        return this->groups_by_key;
    }

    /// @return the queues of all teams, ordered by pool, including empty ones not yet removed.
    [[nodiscard]] const std::map<team_queue_key, std::unique_ptr<team_queue>>& team_queues() const {
        return this->queues_by_team;
    }

    [[nodiscard]] std::size_t waiting_task_count() const { return this->task_count; }

    /// @return the sum of the declared sizes of all waiting tasks.
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
