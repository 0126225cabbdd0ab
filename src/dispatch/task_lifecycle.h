#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"

#include <cstdint>

namespace rattanmount::dispatch {

/// Changes the states of tasks, steps and jobs when runs end.
///
/// Owned by the dispatcher; used by the control thread only.
class task_lifecycle {
public:
    task_lifecycle(dispatch_state& state, run_manager& runs) : state(state), runs(runs) {}

    /// Queues the tasks of those steps of an occurrence whose earlier steps are done.
    void queue_unblocked_steps(live_job& job, std::uint32_t occurrence, core::steady_time now);

    /// Applies an end that a worker reports. An end that has been applied before has no effect; nor has one
    /// that neither completes the task nor counts as a failure while the run with its number is on another
    /// worker.
    void run_ended(worker_state& worker, const reported_end& end, core::steady_time now);

    /// Called when a run has certainly ended without a report: its lease expired, its worker restarted, or
    /// the worker lists it neither as running nor as ended.
    void run_lost(live_step& step, std::uint32_t index, std::uint32_t run, const core::worker_id& worker,
                  core::steady_time now);

    /// Called when a start was refused, so that the run never existed.
    void run_refused(live_step& step, std::uint32_t index, std::uint32_t run, const core::worker_id& worker,
                     core::steady_time now);

    /// Stops all runs of a job and starts no further ones.
    void stop_job(live_job& job, core::steady_time now);

    /// Queues a task that has no run. For a gang, queues all its tasks if none has a run, else stops the
    /// runs.
    void requeue(live_step& step, std::uint32_t index, core::steady_time now);

    /// Called when runs of a gang were found on workers: keeps them if every task has one, else stops them.
    void keep_or_stop_gang(live_step& step, core::steady_time now);

private:
    /// Adds a run that is about to be removed to what is known of run times, if it has ended well.
    void learn_run_time(live_step& step, const worker_state& worker, const live_run& run,
                        core::steady_time now);
    /// Teaches the speeds of workers by the collected runs of a step.
    void learn_speeds(live_step& step);
    void task_done(live_step& step, std::uint32_t index, core::steady_time now);
    void task_failed(live_step& step, const workflow::run_name& run, worker_state& worker,
                     core::steady_time now);
    void gang_done(live_step& step, core::steady_time now);
    void stop_gang(live_step& step, core::steady_time now);
    void step_done(live_step& step, core::steady_time now);
    void end_job(live_job& job, workflow::job_phase phase, core::steady_time now);

    dispatch_state& state;
    run_manager& runs;
};

} // namespace rattanmount::dispatch
