#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/placement_cost.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <vector>

namespace rattanmount::dispatch {

/// Chooses workers for waiting tasks.
///
/// Owned by the dispatcher; used by the control thread only. It does not change the state.
class task_placer {
public:
    explicit task_placer(const dispatch_state& state) : state(state) {}

    /// @param step a step.
    /// @param index one of its tasks.
    /// @param now the current time.
    /// @return the worker to start it on, or nothing if no worker is suitable.
    [[nodiscard]] std::optional<core::worker_id> choose(const live_step& step, std::uint32_t index,
                                                        core::steady_time now) const;

    /// Chooses among a subset of the workers.
    /// @param step a step.
    /// @param index one of its tasks.
    /// @param among the workers to choose from.
    /// @param now the current time.
    /// @return the worker to start it on, or nothing if none of them is suitable.
    [[nodiscard]] std::optional<core::worker_id> choose_among(const live_step& step, std::uint32_t index,
                                                              const std::set<core::worker_id>& among,
                                                              core::steady_time now) const;

    /// @param step a gang whose tasks all wait.
    /// @param now the current time.
    /// @return a worker for each task by index; empty if there is not one for every task.
    [[nodiscard]] std::vector<core::worker_id> choose_gang(const live_step& step,
                                                           core::steady_time now) const;

    /// Chooses places for a gang that does not fit now, where it fits once the present short runs have ended.
    /// @param step a gang whose tasks all wait.
    /// @param now the current time.
    /// @return a worker for each task by index, least busy ones first; empty if there is not one for every
    /// task.
    [[nodiscard]] std::vector<core::worker_id> choose_places_to_keep(const live_step& step,
                                                                     core::steady_time now) const;

    /// Chooses places with room now for a gang that has places kept on workers some of which are still busy.
    /// @param step a gang with kept places.
    /// @param now the current time.
    /// @return a worker for each task by index, kept places with room first; empty if all kept places have
    /// room or there is not a free place for every task.
    [[nodiscard]] std::vector<core::worker_id> choose_free_places(const live_step& step,
                                                                  core::steady_time now) const;

    /// @param step a gang.
    /// @return the workers of its kept places that have room, one for each place.
    [[nodiscard]] std::vector<core::worker_id> kept_places_with_room(const live_step& step) const;

    /// Calls a function for each worker on which advice has permitted the step, with a valid ticket or
    /// without; for all workers if the queue needs no advice.
    /// @param step a step.
    /// @param visit the function.
    void for_each_allowed(const live_step& step, const std::function<void(const worker_state&)>& visit) const;

    /// @param step a gang.
    /// @param worker a worker.
    /// @return the group of workers within which all tasks of the gang have to run: the worker's rack, or one
    /// for all workers.
    [[nodiscard]] static core::rack_id rack_group(const live_step& step, const worker_state& worker);

    /// @param step a gang for one rack without kept places.
    /// @return whether a rack could hold it once all short runs have ended, if those of its workers that
    /// accept no starts now are to accept them soon, and advice permits all on which it has not decided.
    [[nodiscard]] bool some_rack_can_hold(const live_step& step) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the current time.
    /// @return how many of its tasks could run there once the present short runs have ended, regardless of
    /// advice; 0 if the worker does not accept starts.
    [[nodiscard]] std::uint32_t tasks_that_fit_when_idle(const live_step& step, const worker_state& worker,
                                                         core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @return the amounts that have to become free before one of its tasks fits, as shares of the capacity,
    /// summed.
    [[nodiscard]] static double missing_share(const live_step& step, const worker_state& worker);

    /// @param step a gang.
    /// @param worker a worker, which may be busy.
    /// @param now the current time.
    /// @return the cost of keeping a place there, lower is better: what has to become free first, then
    /// cost().
    [[nodiscard]] double gang_cost(const live_step& step, const worker_state& worker,
                                   core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @return whether advice has ever permitted the step there; the ticket may have expired.
    [[nodiscard]] static bool known_allowed(const live_step& step, const worker_state& worker);

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the current time.
    /// @return whether the worker accepts starts, and is of the service and has the label that the step
    /// needs.
    [[nodiscard]] static bool is_eligible(const live_step& step, const worker_state& worker,
                                          core::steady_time now);

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the current time.
    /// @return whether a task of the step could start there now, regardless of advice.
    [[nodiscard]] bool suits(const live_step& step, const worker_state& worker, core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @param freed what would become free there.
    /// @param now the current time.
    /// @return whether a task of the step could start there then, regardless of advice.
    [[nodiscard]] static bool would_suit(const live_step& step, const worker_state& worker,
                                         const core::resources& freed, core::steady_time now);

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the current time.
    /// @return whether advice permits the step there: its queue needs none, or there is a valid ticket.
    [[nodiscard]] bool permitted(const live_step& step, const worker_state& worker,
                                 core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the current time.
    /// @return whether a task of the step may start there now: it suits, and advice permits it.
    [[nodiscard]] bool can_take(const live_step& step, const worker_state& worker,
                                core::steady_time now) const {
        return this->permitted(step, worker, now) && this->suits(step, worker, now);
    }

    /// @param step a step.
    /// @param worker a worker that suits it.
    /// @param now the current time.
    /// @return the cost of choosing the worker; lower is better.
    [[nodiscard]] double cost(const live_step& step, const worker_state& worker,
                              core::steady_time now) const {
        return this->cost_terms(step, worker, now).total();
    }

    /// @param step a step.
    /// @param worker a worker that suits it.
    /// @param now the current time.
    /// @return the terms of cost().
    [[nodiscard]] placement_cost cost_terms(const live_step& step, const worker_state& worker,
                                            core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @return the number of further tasks of the step that fit there.
    [[nodiscard]] std::uint32_t tasks_that_fit(const live_step& step, const worker_state& worker) const;

private:
    /// The best choice so far.
    struct best_choice {
        std::optional<core::worker_id> worker;
        double cost = std::numeric_limits<double>::max();
    };

    [[nodiscard]] static std::uint32_t tasks_within(const live_step& step, const worker_state& worker,
                                                    const core::resources& available);
    /// @param fitting returns how many tasks of the gang a worker could take.
    /// @return a worker for each task by index, in one rack if that is asked for and possible, and there
    /// those with the lowest gang_cost(); empty if there is not one for every task.
    [[nodiscard]] std::vector<core::worker_id>
    choose_for_gang(const live_step& step, core::steady_time now,
                    const std::function<std::uint32_t(const worker_state&)>& fitting) const;

    /// @return the part of cost() for the speed of the worker: less on slow workers, so that fast ones stay
    /// free; and more the longer the task takes there, if that is more than half of the time that its job can
    /// still afford.
    [[nodiscard]] double speed_cost(const live_step& step, const worker_state& worker,
                                    core::steady_time now) const;

    void consider(const live_step& step, std::uint32_t index, const worker_state& worker,
                  core::steady_time now, best_choice& best) const;

    const dispatch_state& state;
};

} // namespace rattanmount::dispatch
