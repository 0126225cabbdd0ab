#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_placer.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::dispatch {

/// Stops runs of lower priorities where steps of the highest priority find no room.
///
/// Runs are stopped only for a step that can still end on time and came within the rate of its team, on a
/// worker that it is permitted to use and where one of its tasks fits afterwards, and only if less work is
/// lost than the task brings. Of all workers the one is taken where least work is lost. A stopped task is
/// queued again when its worker lists its end, and goes on from its checkpoint. Gangs and long-running runs
/// are never stopped. The number of workers on which room is being made is bounded. Owned by the dispatcher;
/// used by the control thread only.
class preemption {
public:
    preemption(dispatch_state& state, run_manager& runs, const task_placer& selector, start_check may_start);

    /// @param enabled whether runs may be stopped at all: if the configuration has teams. False until this is
    /// called.
    void set_enabled(bool enabled) { this->enabled = enabled; }

    /// Called when tasks of a step wait for a worker with room: stops runs of a lower priority, for each
    /// waiting task on at most one worker.
    /// @param step the step.
    /// @param now the current time.
    void make_room(const live_step& step, core::steady_time now);

    /// Forgets the stopped runs that have ended.
    /// @param now the current time.
    void tick(core::steady_time now);

    /// Forgets all stopped runs. Called when this host no longer leads.
    void reset();

private:
    /// A run that may be stopped.
    struct victim {
        live_step* step = nullptr;
        std::uint32_t index = 0;
        live_run* run = nullptr;
        double lost_core_seconds = 0;
    };
    /// Runs of one worker that make room for a task if they are stopped.
    struct plan {
        core::worker_id worker;
        std::vector<victim> victims{};
        double lost_core_seconds = 0;
    };
    /// Runs that were stopped on one worker.
    struct pending_stop {
        workflow::step_name beneficiary; ///< The step for which they were stopped.
        std::vector<workflow::run_name> runs{};
        core::steady_time stopped_at;
    };

    [[nodiscard]] bool may_preempt(const live_step& step, core::steady_time now) const;
    /// @return for how many tasks of the step room is being made.
    [[nodiscard]] std::size_t pending_for(const live_step& step) const;
    /// @return the workers where room can be made for one task of the step, those with the lowest loss first;
    /// none if a task fits somewhere already.
    [[nodiscard]] std::vector<plan> find_plans(const live_step& step, core::steady_time now);
    /// @return the runs to stop on a worker; nothing if that does not make room, or loses too much.
    [[nodiscard]] std::optional<plan> plan_for(const live_step& step, const worker_state& worker,
                                               core::steady_time now);
    /// @return the runs of lower priorities on a worker that may be stopped, lowest loss first.
    [[nodiscard]] std::vector<victim> find_victims(const live_step& step, const worker_state& worker,
                                                   core::steady_time now);
    void carry_out(const live_step& step, const plan& chosen, core::steady_time now);

    dispatch_state& state;
    run_manager& runs;
    const task_placer& selector;
    start_check may_start;
    bool enabled = false;
    std::map<core::worker_id, pending_stop> pending;
    /// By step, the time before which room is not searched for it again.
    std::map<workflow::step_name, core::steady_time> search_again_at;
};

} // namespace rattanmount::dispatch
