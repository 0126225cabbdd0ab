#pragma once

#include "core/time.h"
#include "dispatch/advice_manager.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_placer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace rattanmount::dispatch {

/// Moves the runs of long-running tasks off workers that are about to leave.
///
/// A move reserves a place on another worker, stops the run, and starts the task at that place once the run
/// has certainly ended. Runs for which there is no place stay until their worker leaves. Gangs and tasks that
/// end by themselves are not moved. Owned by the dispatcher; used by the control thread only.
class run_mover {
public:
    /// @param state the shared state.
    /// @param runs sends the orders and reserves the places.
    /// @param selector chooses the places.
    /// @param advice asks which workers may run a step.
    /// @param may_start the condition for starting a task that has no run.
    run_mover(dispatch_state& state, run_manager& runs, const task_placer& selector, advice_manager& advice,
              start_check may_start);

    /// Starts the tasks whose former runs have ended, and begins further moves. Call it before other waiting
    /// tasks are placed.
    /// @param now the current time.
    void tick(core::steady_time now);

    /// @param now the current time.
    /// @return when tick() has to be called at the latest.
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

    /// Forgets all moves and places. Called when this host no longer leads.
    void reset();

private:
    /// When a draining worker leaves at the earliest.
    struct departure {
        core::milliseconds remaining{0}; ///< As its entry said it last.
        core::steady_time at;
    };
    struct move {
        std::uint32_t run = 0; ///< The run that is being stopped.
        core::worker_id place; ///< Where the task is started next.
        core::steady_time begun_at;
    };
    struct candidate {
        core::steady_time leaves_at;
        live_step* step = nullptr;
        std::uint32_t index = 0;
        std::uint32_t run = 0;
    };

    /// @return whether the move is over.
    bool advance(const workflow::task_name& task, const move& one, core::steady_time now);
    void restart(live_step& step, std::uint32_t index, const move& one, core::steady_time now);
    void update_departures(core::steady_time now);
    [[nodiscard]] std::vector<candidate> find_candidates();
    void begin_moves(core::steady_time now);
    void begin_move(const candidate& one, const core::worker_id& place, core::steady_time now);
    /// @return the limit of moves at a time.
    [[nodiscard]] std::size_t max_moves() const;
    /// @return whether a further move would leave too few of the step's tasks at work.
    [[nodiscard]] static bool must_wait(const candidate& one, core::steady_time now);

    dispatch_state& state;
    run_manager& runs;
    const task_placer& selector;
    advice_manager& advice;
    start_check may_start;
    std::map<workflow::task_name, move> moves;
    std::map<core::worker_id, departure> departures;
    /// Steps for which there was no place, and when to search again.
    std::map<workflow::step_name, core::steady_time> search_again_at;
    core::steady_time searched_at;
    bool runs_left = false; ///< Whether the last search left runs on draining workers.
};

} // namespace rattanmount::dispatch
