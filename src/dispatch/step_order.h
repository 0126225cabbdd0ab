#pragma once

#include "core/time.h"
#include "dispatch/live_job.h"
#include "dispatch/team_accounts.h"
#include "overload/delay_cost.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::dispatch {

/// @param step a step.
/// @param now the current time.
/// @return what is known about the work that its job still needs from this step on.
[[nodiscard]] overload::waiting_work waiting_work_of(const live_step& step, core::steady_time now);

/// Returns the standing of a waiting step among those of other teams, or nothing if its team has no room for
/// it.
using standing_hook = std::function<std::optional<team_standing>(live_step&)>;

/// Determines the order in which waiting steps are started.
///
/// Steps of a higher priority come first. Among those of one priority, steps of teams that use no more than
/// their share come before those of others, and jobs beyond the rate of their team come last. The oldest step
/// of each standing regularly gets a turn before the others, so that no team is starved.
///
/// Among steps of one standing, those of jobs that can still end on time come before late ones, and overdue
/// ones come last, so that a backlog does not make every later job late as well. Then those come first whose
/// callers lose most for each core-second by waiting: jobs that need little more, so that what has begun is
/// finished and as many callers as possible are served. The oldest late step and the oldest overdue step of
/// each priority regularly get a turn before the others, so that late jobs do not all become overdue and no
/// job is starved. Otherwise the order is that of arrival. Owned by the dispatcher; used by the control
/// thread only.
class step_order {
public:
    /// @param ready the steps that may start, by priority and arrival.
    /// @param standing_of returns the standing of each.
    /// @param now the current time.
    /// @return the steps that have a standing, in the order in which to start them.
    [[nodiscard]] std::vector<live_step*> arrange(const std::map<step_sort_key, live_step*>& ready,
                                                  const standing_hook& standing_of,
                                                  core::steady_time now) const;

    /// Called when tasks of a step are started.
    /// @param step the step.
    /// @param now the current time.
    void on_started(const live_step& step, core::steady_time now);

    /// Called when tasks of a step or a gang are started.
    /// @param standing its standing.
    void on_started(team_standing standing);

private:
    [[nodiscard]] bool has_turn(overload::prospect prospect) const;
    [[nodiscard]] bool has_turn(team_standing standing) const;

    /// By standing: starts of other steps since the last one of a step with this standing.
    std::array<std::uint32_t, 3> starts_of_other_standings{};
    /// By prospect: starts of other steps since the last one of a step with this prospect.
    std::array<std::uint32_t, 3> starts_of_other_prospects{};
};

} // namespace rattanmount::dispatch
