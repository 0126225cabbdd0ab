#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_lifecycle.h"
#include "dispatch/task_placer.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace rattanmount::dispatch {

/// Places gangs, whose tasks have to start together.
///
/// A gang that does not fit now gets places kept on workers where it fits once their present runs have ended.
/// Otherwise smaller tasks would take all capacity as it becomes free, and a large gang would never start.
/// Only a part of a service's workers have places kept at a time, and the places yield to waiting steps of a
/// higher priority. Owned by the dispatcher; used by the control thread only.
class gang_placer {
public:
    gang_placer(dispatch_state& state, run_manager& runs, task_lifecycle& flow, const task_placer& choice,
                start_check may_start);

    /// Starts a waiting gang if there is a place for every task, or keeps places for it.
    /// @param step the gang.
    /// @param now the current time.
    void place(live_step& step, core::steady_time now);

    /// Called when tasks of a step wait for a worker with room: gangs of a lower priority give up their
    /// places on the workers of its service.
    /// @param step the step.
    /// @param now the current time.
    void yield_to(const live_step& step, core::steady_time now);

    /// Releases places that are of no use any more: the gang no longer waits, a worker accepts no starts, or
    /// the places have been kept too long.
    /// @param now the current time.
    void tick(core::steady_time now);

    /// Forgets the kept places. Called when this host no longer leads.
    void reset();

private:
    /// Lets a gang for one rack, for which there is no room in one now, run on several racks if none can hold
    /// it or if it has waited for one long enough.
    /// @return whether it may do so from now on.
    [[nodiscard]] bool permit_several_racks(live_step& step, core::steady_time now) const;
    [[nodiscard]] bool may_keep_places(const live_step& step, core::steady_time now) const;
    [[nodiscard]] std::size_t workers_of(const core::service_id& service) const;
    /// @param workers a worker for each task by index; none if there are no places.
    void keep_places(live_step& step, const std::vector<core::worker_id>& workers, core::steady_time now);
    /// @return whether all kept places have room and valid tickets.
    [[nodiscard]] bool can_start_on_kept_places(const live_step& step, core::steady_time now) const;
    [[nodiscard]] bool are_useful(const live_step& step, core::steady_time kept_at,
                                  core::steady_time now) const;
    void release(live_step& step);
    /// Releases the places of all gangs that meet a condition.
    /// @param condition called with the gang and the time since which its places are kept.
    /// @return these gangs.
    std::vector<live_step*>
    release_if(const std::function<bool(const live_step&, core::steady_time)>& condition);
    void start(live_step& step, const std::vector<core::worker_id>& workers, core::steady_time now);

    dispatch_state& state;
    run_manager& runs;
    task_lifecycle& lifecycle;
    const task_placer& selector;
    start_check may_start;
    /// The gangs with kept places, and since when. tick() removes those of jobs that are over before the
    /// dispatcher forgets the jobs.
    std::map<live_step*, core::steady_time> kept;
    /// Services on whose workers a gang that comes first in this round could not keep places; later ones wait
    /// for it.
    std::set<core::service_id> blocked;
    /// Until then, no places are kept on the workers of a service, because more urgent steps wait there.
    std::map<core::service_id, core::steady_time> paused_until;
};

} // namespace rattanmount::dispatch
