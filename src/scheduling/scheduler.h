#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/placement.h"
#include "scheduling/preemption.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/worker_info.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::scheduling {

struct allocation;
struct shard_state;
struct tracked_job;

/// Decides for one shard which waiting task starts on which worker.
///
/// Add workers and jobs, then call place() after every change or batch of changes. Confirm each placement
/// with task_running() or return it with placement_dropped(), and report the end of each attempt with
/// task_ended(). Owned by the host that owns the shard; only the control thread may call it. It does no I/O
/// and reads no clock.
class scheduler {
public:
    /// @param options hooks and limits; the hooks pool, team and remote_usage may be empty.
    explicit scheduler(scheduler_options options);
    ~scheduler();
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Adds a worker or updates it. A new worker does not accept tasks until set_accepting() is called.
    void set_worker(const worker_info& worker);

    /// Removes a worker and its capacity. Tasks on it count against their team and pool until task_ended().
    /// @param worker the worker's name; no effect if it is unknown.
    void remove_worker(const core::worker_id& worker);

    /// Sets whether a worker may get tasks.
    /// @param worker the worker's name; no effect if it is unknown.
    /// @param accepting whether its lease is held and it is not leaving.
    void set_accepting(const core::worker_id& worker, bool accepting);

    /// Checks a job against the whole capacity of the workers, ignoring what runs on them. The urgent
    /// reserve is left out for pools that are not urgent.
    /// @return why the shard can never run the job; empty if it can, or if the shard has no workers.
    [[nodiscard]] std::optional<std::string> never_fits(const core::job_spec& spec) const;

    /// Adds a job and queues its waiting tasks. If the job is known, only the tasks are queued.
    /// @param spec the job.
    /// @param waiting_since when the job started to wait.
    /// @param waiting_tasks indexes of the waiting tasks; tasks that are already running are skipped.
    void add_job(const core::job_spec& spec, core::steady_time waiting_since,
                 const std::vector<std::uint32_t>& waiting_tasks);

    /// Removes a job that was cancelled, ended or moved. Its running tasks keep their capacity until
    /// task_ended().
    /// @param job the job's id; no effect if it is unknown.
    void remove_job(const core::job_id& job);

    /// Queues a task again after task_ended() of its last attempt. No effect if the job is unknown or if the
    /// task is already waiting, placed or running. The waiting time of a service that has no waiting tasks
    /// starts again at `now`.
    void requeue(const core::job_id& job, std::uint32_t task, core::steady_time now);

    /// Places waiting tasks and allocates their resources immediately.
    /// @param now the current time.
    /// @param max_placements how many placements to make; the last one may be a gang, which is placed whole
    ///        and may exceed this number.
    /// @return the placements in the order in which to start them.
    [[nodiscard]] std::vector<placement> place(core::steady_time now, std::size_t max_placements);

    /// Binds a placement to its attempt, or adopts an attempt that was found on a worker. Idempotent. No
    /// effect if task_ended() has already been called for the attempt.
    /// @param since when the attempt started.
    void task_running(const core::attempt_id& attempt, const core::worker_id& worker,
                      const core::resources& each, const core::pool_id& pool, core::steady_time since);

    /// Called when a placement was not carried out: frees its resources and queues the task at its old
    /// position.
    void placement_dropped(const core::job_id& job, std::uint32_t task);

    /// Called when an attempt has ended: frees its resources and updates the estimates and the worker's
    /// health. Does not queue the task again.
    /// @param attempt the attempt; its placement may not have been bound yet.
    /// @param end how it ended.
    /// @param run_time how long it ran.
    /// @param used its peak resource use; all 0 if not known.
    /// @param now the current time.
    void task_ended(const core::attempt_id& attempt, core::attempt_end end, core::milliseconds run_time,
                    const core::resources& used, core::steady_time now);

    /// Updates the resource use of a running attempt from the worker's latest report.
    /// @param run_time not used.
    void update_usage(const core::attempt_id& attempt, const core::resources& used,
                      core::milliseconds run_time);

    /// Chooses tasks to preempt for urgent jobs that fit on no worker. Call it after place().
    /// @return the preemptions to carry out; for each task the least disruptive kind comes first.
    [[nodiscard]] std::vector<preemption> preempt(core::steady_time now);

    /// Explains the state of a job to people.
    /// @return one line each for why it waits, its position in the queue and its earliest start, and one for
    ///         each placed task with its worker and the reason for the choice.
    [[nodiscard]] std::vector<std::string> explain(const core::job_id& job, core::steady_time now) const;

    /// @return the sum of the free resources of all workers that may get tasks.
    [[nodiscard]] core::resources free() const;

    /// @return the free resources of the worker that has most of them, among those that may get tasks.
    [[nodiscard]] core::resources largest_free() const;

    [[nodiscard]] std::uint32_t waiting_tasks() const;

    /// Returns jobs that another shard may be able to start sooner.
    /// @param now the current time.
    /// @param waited how long a job must have waited.
    /// @param max_jobs how many jobs to return at most.
    /// @return jobs with no started task that have waited that long and cannot start here now. Jobs that wait
    ///         for the quota of their team or have an unknown pool are left out.
    [[nodiscard]] std::vector<core::job_id> movable_jobs(core::steady_time now, core::milliseconds waited,
                                                         std::size_t max_jobs) const;

    /// @return the resources allocated to a team's placed and running tasks on this shard.
    [[nodiscard]] core::resources team_allocation(const core::team_id& team) const;

    /// @return the teams with allocated resources on this shard, sorted by name.
    [[nodiscard]] std::vector<core::team_id> teams_with_allocations() const;

private:
    void apply_quarantine();
    void link(tracked_job& job, allocation& alloc);
    allocation& adopt(const core::attempt_id& attempt, const core::worker_id& worker,
                      const core::resources& each, const core::pool_id& pool);
    void learn(const allocation& alloc, core::attempt_end end, core::milliseconds run_time,
               const core::resources& used, core::steady_time now);

    std::unique_ptr<shard_state> state;
};

} // namespace rattanmount::scheduling
