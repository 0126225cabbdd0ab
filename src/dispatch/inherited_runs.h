#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "workflow/cell_state.h"

#include <map>

namespace rattanmount::dispatch {

/// Counts, against the caps of the teams, what a former leader may have running without this leader knowing.
///
/// Until the workers of the roster are settled, each task of an inherited job counts that is not done and of
/// which no run is tracked: the former leader may have started it without a record. Steps that depend on each
/// other cannot run at a time, so only the largest of them counts. Owned by the dispatcher; used by the
/// control thread only.
class inherited_runs {
public:
    explicit inherited_runs(dispatch_state& state) : state(state) {}

    /// Called when this host becomes the leader.
    /// @param cell the state of the cell up to the record that made it the leader.
    void begin(const workflow::cell_state& cell);

    /// Updates the amounts in dispatch_state::teams.
    /// @param settled whether the workers that had runs of a former leader are settled.
    /// @param now the current time.
    void update(bool settled, core::steady_time now);

    /// Forgets everything. Called when this host stops leading.
    void reset() { this->jobs.clear(); }

private:
    /// A job of a team that was accepted before this host led and is not known to have ended its runs.
    struct inherited_job {
        core::team_id team;
        core::resources amount; ///< The most that its runs may use.
    };

    [[nodiscard]] bool any_unknown_runs() const;
    void update_jobs();
    void add_recorded_tasks(team_accounts::amounts& unknown, core::steady_time now) const;

    dispatch_state& state;
    std::map<workflow::job_key, inherited_job> jobs; ///< Empty once all their runs are known or have ended.
    core::steady_time updated_at;
};

} // namespace rattanmount::dispatch
