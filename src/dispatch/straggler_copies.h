#pragma once

#include "core/time.h"
#include "dispatch/advice_manager.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_placer.h"

#include <cstdint>
#include <optional>

namespace rattanmount::dispatch {

/// Starts a second run of tasks that take much longer than the others of their step.
///
/// Only steps that allow copies get them, and only while much of the service's capacity is free. The first
/// run to succeed counts; task_lifecycle stops the other one. The work that may be lost by copies is bounded
/// as a share of all work. Owned by the dispatcher; used by the control thread only.
class straggler_copies {
public:
    /// @param may_start the condition for starting a run of a task.
    straggler_copies(dispatch_state& state, run_manager& runs, const task_placer& selector,
                     advice_manager& advice, start_check may_start);

    /// Starts the copies that are due.
    void tick(core::steady_time now);

    /// Forgets everything.
    void reset();

private:
    /// Adds the work of all runs since the last call to the budget.
    void update_budget(core::steady_time now);
    void search(live_step& step, core::steady_time now);
    [[nodiscard]] bool is_straggler(const live_step& step, const live_task& task,
                                    core::steady_time now) const;
    /// @return whether enough of a service's capacity is free.
    [[nodiscard]] bool has_spare_capacity(const core::service_id& service, core::steady_time now) const;
    [[nodiscard]] std::optional<core::worker_id>
    choose_other_worker(const live_step& step, std::uint32_t index, core::steady_time now) const;
    void start_copy(live_step& step, std::uint32_t index, worker_state& worker, core::steady_time now);

    dispatch_state& state;
    run_manager& runs;
    const task_placer& selector;
    advice_manager& advice;
    start_check may_start;
    core::steady_time searched_at;
    double all_work = 0;  ///< In core-seconds, with decay.
    double copy_work = 0; ///< What may be lost by copies, in core-seconds, with decay.
};

} // namespace rattanmount::dispatch
