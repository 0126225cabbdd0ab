#pragma once

#include "core/time.h"
#include "dispatch/live_job.h"
#include "overload/delay_cost.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace rattanmount::dispatch {

/// @param step a step.
/// @param now the current time.
/// @return what is known about the work that its job still needs from this step on.
[[nodiscard]] overload::waiting_work waiting_work_of(const live_step& step, core::steady_time now);

/// Determines the order in which waiting steps are started.
///
/// Steps of a higher priority come first. Among those of one priority, steps of jobs that can still end on
/// time come before late ones, and overdue ones come last, so that a backlog does not make every later job
/// late as well. Then those come first whose callers lose most for each core-second by waiting: jobs that
/// need little more, so that what has begun is finished and as many callers as possible are served. The
/// oldest late step and the oldest overdue step of each priority regularly get a turn before the others, so
/// that late jobs do not all become overdue and no job is starved. Otherwise the order is that of arrival.
/// Owned by the dispatcher; used by the control thread only.
class step_order {
public:
    /// @param ready the steps that may start, by priority and arrival.
    /// @param now the current time.
    /// @return the same steps in the order in which to start them.
    [[nodiscard]] std::vector<live_step*> arrange(const std::map<step_sort_key, live_step*>& ready,
                                                  core::steady_time now) const;

    /// Called when tasks of a step are started.
    /// @param step the step.
    /// @param now the current time.
    void on_started(const live_step& step, core::steady_time now);

private:
    [[nodiscard]] bool has_turn(overload::prospect prospect) const;

    /// By prospect: starts of other steps since the last one of a step with this prospect.
    std::array<std::uint32_t, 3> other_starts{};
};

} // namespace rattanmount::dispatch
