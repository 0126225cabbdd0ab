#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"

#include <cstdint>

namespace rattanmount::dispatch {

/// Moves tasks, steps and jobs from one state to the next as runs end.
///
/// Owned by the dispatcher; the control thread only.
class task_lifecycle {
public:
    task_lifecycle(dispatch_state& state, run_manager& runs) : state(state), runs(runs) {}

    /// Queues what of an occurrence may start: the tasks of steps whose earlier steps are done.
    void queue_unblocked_steps(live_job& job, std::uint32_t occurrence, core::steady_time now);

    /// A run ended as the worker tells. Ends that were counted before change nothing.
    void run_ended(worker_state& worker, const ended_row& end, core::steady_time now);

    /// A run is surely over without a report: its lease lapsed, its worker began another life, or the worker
    /// neither runs it nor lists its end.
    void run_lost(live_step& step, std::uint32_t index, std::uint32_t run, core::steady_time now);

    /// A start was refused, so that the run never was.
    void run_refused(live_step& step, std::uint32_t index, std::uint32_t run, core::steady_time now);

    /// Stops all runs of a job and starts no more.
    void stop_job(live_job& job, core::steady_time now);

    /// Queues a task that has no run, or its whole gang where none of its tasks has one.
    void requeue(live_step& step, std::uint32_t index, core::steady_time now);

    /// Runs of a gang were found on workers: takes them where all are there, else stops them.
    void keep_or_stop_gang(live_step& step, core::steady_time now);

private:
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
