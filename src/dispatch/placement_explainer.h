#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/placement_explanation.h"
#include "dispatch/task_placer.h"
#include "workflow/records.h"

#include <cstddef>

namespace rattanmount::dispatch {

/// Explains where the tasks of a job would start if it was submitted now.
///
/// Asks the placer that chooses the workers of waiting tasks, so that the explanation and the decision cannot
/// differ. Created for one call; used by the control thread only. It does not change the state.
class placement_explainer {
public:
    placement_explainer(const dispatch_state& state, const task_placer& placer)
        : state(state), placer(placer) {}

    /// @param job the job.
    /// @param now the current time.
    /// @return the explanation.
    [[nodiscard]] placement_explanation explain(const workflow::job_accepted& job,
                                                core::steady_time now) const;

private:
    void add_workers(const live_step& step, core::steady_time now, placement_explanation& result) const;
    void add_reasons(const live_step& step, core::steady_time now, placement_explanation& result) const;
    [[nodiscard]] std::size_t steps_ahead(const live_step& step) const;

    const dispatch_state& state;
    const task_placer& placer;
};

} // namespace rattanmount::dispatch
