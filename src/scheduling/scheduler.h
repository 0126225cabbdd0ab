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
/// Tell it of workers and jobs, call place() after every change or batch of changes, bind each placement with
/// task_running() or give it back with placement_dropped(), and report each end with task_over(). The owner
/// of the shard owns it; only the control thread may call. It does no I/O and reads no clock.
class scheduler {
public:
    /// @param options hooks and limits; pool, team and remote_usage may be empty.
    explicit scheduler(scheduler_options options);
    ~scheduler();
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Adds a worker or changes what is known of it. A new worker is not accepting.
    /// @param worker the worker.
    void set_worker(const worker_info& worker);

    /// Takes a worker's room away. Tasks on it count for their team and pool until task_over().
    /// @param worker its name; an unknown one changes nothing.
    void remove_worker(const core::worker_id& worker);

    /// @param worker a known worker.
    /// @param accepting whether it may get tasks: its lease is held and it is not leaving.
    void set_accepting(const core::worker_id& worker, bool accepting);

    /// @param spec a job.
    /// @return why no worker of the shard can ever run it, with the amount that is too large; empty where one
    /// can.
    [[nodiscard]] std::optional<std::string> never_fits(const core::job_spec& spec) const;

    /// Adds a job with the tasks that wait; a known job gets the tasks added.
    /// @param spec the job.
    /// @param waiting_since since when it waits.
    /// @param waiting_tasks indexes of the tasks that wait; those known to run are left out.
    void add_job(const core::job_spec& spec, core::steady_time waiting_since,
                 const std::vector<std::uint32_t>& waiting_tasks);

    /// Forgets a job that was cancelled, ended or moved. Its tasks that run keep their room until
    /// task_over().
    /// @param job its id; an unknown one changes nothing.
    void remove_job(const core::job_id& job);

    /// A task waits again after task_over() of its last attempt. No effect for an unknown job, a task that
    /// waits and a task that is placed or runs.
    void requeue(const core::job_id& job, std::uint32_t task, core::steady_time now);

    /// Decides on starts and takes their room at once.
    /// @param now the time of the decision.
    /// @param most the number of placements wanted; a gang may go beyond it, since it is placed whole.
    /// @return the placements in the order in which to start them.
    [[nodiscard]] std::vector<placement> place(core::steady_time now, std::size_t most);

    /// Binds a placement to its attempt, or adopts an attempt found on a worker. A repeat changes nothing,
    /// nor does an attempt that task_over() was told of.
    void task_running(const core::attempt_id& attempt, const core::worker_id& worker,
                      const core::resources& each, const core::pool_id& pool, core::steady_time since);

    /// A placement was not carried out: frees its room and lets the task wait again, in its old order.
    void placement_dropped(const core::job_id& job, std::uint32_t task);

    /// An attempt is over: frees its room and learns from it. Does not queue the task again.
    /// @param attempt the attempt, also one whose placement was not bound yet.
    /// @param end how it ended.
    /// @param run_time how long it ran.
    /// @param used its peak use; all 0 where not known.
    /// @param now the time.
    void task_over(const core::attempt_id& attempt, core::attempt_end end, core::milliseconds run_time,
                   const core::resources& used, core::steady_time now);

    /// Takes a worker's late report on an attempt that runs.
    void task_usage(const core::attempt_id& attempt, const core::resources& used,
                    core::milliseconds run_time);

    /// Makes room for urgent jobs that wait and fit nowhere. Call it after place().
    /// @return what to do, the mildest first for each task.
    [[nodiscard]] std::vector<preemption> preempt(core::steady_time now);

    /// @return why a job waits, its place in the queue, what it waits for and when it may start at best; and
    ///         for each task that runs where it runs and why there. One line each.
    [[nodiscard]] std::vector<std::string> explain(const core::job_id& job, core::steady_time now) const;

    /// @return the room that is free on all accepting workers.
    [[nodiscard]] core::resources free() const;

    /// @return the room of the accepting worker with the most free room.
    [[nodiscard]] core::resources largest_free() const;

    [[nodiscard]] std::uint32_t waiting_tasks() const;

    /// @param now the time.
    /// @param waited how long a job must have waited.
    /// @param most how many are wanted.
    /// @return jobs never started that have waited so long and fit nowhere here now.
    [[nodiscard]] std::vector<core::job_id> movable(core::steady_time now, core::milliseconds waited,
                                                    std::size_t most) const;

    /// @return what a team's placed and running tasks hold on this shard.
    [[nodiscard]] core::resources held(const core::team_id& team) const;

    /// @return the teams that hold something here.
    [[nodiscard]] std::vector<core::team_id> teams() const;

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
