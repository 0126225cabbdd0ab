#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"

#include <cstdint>

namespace rattanmount::dispatch {

/// Tracks the runs of tasks, reserves resources on workers for them and sends start and stop orders.
///
/// Resources are reserved before the start is sent and released only when the run has certainly ended.
/// Owned by the dispatcher; used by the control thread only.
class run_manager {
public:
    explicit run_manager(dispatch_state& state) : state(state) {}

    /// Reserves resources for a run and sends the start.
    /// @param step the step of the task.
    /// @param index the index of the task.
    /// @param worker the worker to run it on.
    /// @param run the number of the run.
    /// @param now the current time.
    void start(live_step& step, std::uint32_t index, worker_state& worker, std::uint32_t run,
               core::steady_time now);

    /// Adds a run that a worker reports and this host does not track, and reserves its resources.
    live_run& adopt(live_step& step, std::uint32_t index, worker_state& worker, const reported_run& row,
                    core::steady_time now);

    /// Sends the start of a run, also as a retry.
    void send_start(live_step& step, std::uint32_t index, live_run& run, core::steady_time now);

    /// Sends a stop for a run, or has it sent once there is room for it among the orders in flight.
    void stop(live_step& step, std::uint32_t index, live_run& run, core::steady_time now);

    /// Sends a stop for a reported run that this host does not track, if there is room for it among the
    /// orders in flight; the worker reports the run again.
    void stop_unknown(const worker_state& worker, const workflow::run_name& run, core::steady_time now);

    /// Removes a run that has certainly ended and releases its resources.
    /// @param step the step.
    /// @param index the index of the task.
    /// @param run the number of the run.
    /// @param worker the worker of the run; a run that is not tracked there is ignored.
    void remove(live_step& step, std::uint32_t index, std::uint32_t run, const core::worker_id& worker);

    /// Reserves the resources of a task on a worker to which it is being moved, or on which its gang waits
    /// for room.
    /// @param step the step of the task.
    /// @param index the index of the task.
    /// @param worker the worker.
    void reserve_place(live_step& step, std::uint32_t index, worker_state& worker);

    /// Releases what reserve_place() has reserved.
    /// @param step the step of the task.
    /// @param index the index of the task.
    /// @param worker the worker; it may be gone.
    void release_place(live_step& step, std::uint32_t index, const core::worker_id& worker);

    /// @param task a task.
    /// @param run the number of a run.
    /// @return the run, or null if there is none with this number.
    [[nodiscard]] static live_run* find_run(live_task& task, std::uint32_t run);

    /// @param task a task.
    /// @param run the number of a run.
    /// @param worker a worker.
    /// @return the run, or null if there is none with this number on this worker.
    [[nodiscard]] static live_run* find_run_on(live_task& task, std::uint32_t run,
                                               const core::worker_id& worker);

private:
    live_run& add(live_step& step, std::uint32_t index, worker_state& worker, std::uint32_t run);
    static void reserve(live_step& step, worker_state& worker);
    void release(const live_step& step, worker_state& worker);
    static void count_one_less(live_step& step, const core::worker_id& worker);

    dispatch_state& state;
};

/// @param step a step.
/// @return the resources that a run of one of its tasks reserves; no processors if it uses leftover processor
/// time.
[[nodiscard]] core::resources reserved_resources(const workflow::step_request& step);

} // namespace rattanmount::dispatch
