#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "dispatch/dispatch_state.h"

#include <map>
#include <set>

namespace rattanmount::dispatch {

/// Logs when tasks of a team begin to wait for room under its cap, and when they no longer do.
///
/// A team gets at most one line in a while, so that a team that uses its whole cap does not fill the log.
/// Used by the control thread only.
class team_reports {
public:
    /// Called when a placement leaves out a step because of its team's cap.
    void on_held(const core::team_id& team) { this->held.insert(team); }

    /// Called at the end of a placement.
    /// @param state the accounts.
    /// @param now the current time.
    void log_changes(const dispatch_state& state, core::steady_time now);

    /// Forgets all teams.
    void reset();

private:
    /// What the log says about a team.
    struct report {
        bool held = false;
        core::steady_time logged_at;
    };

    std::set<core::team_id> held; ///< Since the last log_changes().
    std::map<core::team_id, report> reported;
};

} // namespace rattanmount::dispatch
