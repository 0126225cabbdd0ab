#pragma once

#include "core/ids.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/team_accounts.h"

#include <set>

namespace rattanmount::dispatch {

/// Which teams use more than their share of the cell, at one moment.
///
/// Weighted dominant resource fairness: the use of a team is the dominant share of its reservations in the
/// capacity of the listed workers, divided by its weight. A team is over its share if its use is above the
/// sum of the dominant shares divided by the sum of the weights, over all teams that have tasks running or
/// waiting. An immutable value that holds for one placement.
class team_shares {
public:
    /// @param state the accounts of the teams, the workers and the steps that wait.
    explicit team_shares(const dispatch_state& state);

    /// @param step a step that waits.
    /// @return where it stands among the steps of its priority.
    [[nodiscard]] team_standing standing_of(const live_step& step) const;

private:
    std::set<core::team_id> over_share;
};

} // namespace rattanmount::dispatch
