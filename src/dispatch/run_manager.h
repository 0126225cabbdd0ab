#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"

#include <cstdint>

namespace rattanmount::dispatch {

/// Keeps the runs of tasks and the room that they hold on workers, and gives the orders on single runs.
///
/// Room is taken before the order to start is given, and given back only when the run is surely over.
/// Owned by the dispatcher; the control thread only.
class run_manager {
public:
    explicit run_manager(dispatch_state& state) : state(state) {}

    /// Takes room and orders a start.
    /// @param step the step of the task.
    /// @param index the task.
    /// @param worker where it is to run.
    /// @param run the number of the run.
    /// @param now the time.
    void start(live_step& step, std::uint32_t index, worker_state& worker, std::uint32_t run,
               core::steady_time now);

    /// Takes room for a run that was found on a worker.
    live_run& adopt(live_step& step, std::uint32_t index, worker_state& worker, const running_row& row,
                    core::steady_time now);

    /// Sends the order to start a run once more.
    void send_start(live_step& step, std::uint32_t index, live_run& run, core::steady_time now);

    /// Orders a run to stop.
    void stop(live_step& step, std::uint32_t index, live_run& run, core::steady_time now);

    /// Orders a run to stop that this host does not account for.
    void stop_foreign(const worker_state& worker, const workflow::run_name& run);

    /// A run is surely over: gives its room back.
    /// @param step the step.
    /// @param index the task.
    /// @param run the number of the run; an unknown one changes nothing.
    void remove(live_step& step, std::uint32_t index, std::uint32_t run);

    /// @param task a task.
    /// @param run the number of a run.
    /// @return the run, or null.
    [[nodiscard]] static live_run* find_run(live_task& task, std::uint32_t run);

private:
    live_run& add(live_step& step, std::uint32_t index, worker_state& worker, std::uint32_t run);

    dispatch_state& state;
};

/// @param step a step.
/// @return what one of its tasks counts for on a worker.
[[nodiscard]] core::resources reserved_resources(const workflow::step_request& step);

} // namespace rattanmount::dispatch
