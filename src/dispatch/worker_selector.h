#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

namespace rattanmount::dispatch {

/// Chooses workers for tasks that wait.
///
/// Owned by the dispatcher; the control thread only. It changes nothing.
class worker_selector {
public:
    explicit worker_selector(const dispatch_state& state) : state(state) {}

    /// @param step a step.
    /// @param index one of its tasks.
    /// @param now the time.
    /// @return the worker to start it on, or none.
    [[nodiscard]] std::optional<core::worker_id> choose(const live_step& step, std::uint32_t index,
                                                        core::steady_time now) const;

    /// @param step a step.
    /// @param index one of its tasks.
    /// @param among the only workers to look at.
    /// @param now the time.
    /// @return as above.
    [[nodiscard]] std::optional<core::worker_id> choose_among(const live_step& step, std::uint32_t index,
                                                              const std::set<core::worker_id>& among,
                                                              core::steady_time now) const;

    /// @param step a gang whose tasks all wait.
    /// @param now the time.
    /// @return a worker for each task by index, or nothing where not all find one.
    [[nodiscard]] std::vector<core::worker_id> choose_gang(const live_step& step,
                                                           core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the time.
    /// @return whether a task of the step could start there now, but for a ticket.
    [[nodiscard]] bool suits(const live_step& step, const worker_state& worker, core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @param now the time.
    /// @return whether the step may start there as far as advice goes: there is a ticket or none is needed.
    [[nodiscard]] bool permitted(const live_step& step, const worker_state& worker,
                                 core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker that suits it.
    /// @param now the time.
    /// @return how bad a choice it is; less is better.
    [[nodiscard]] double cost(const live_step& step, const worker_state& worker, core::steady_time now) const;

    /// @param step a step.
    /// @param worker a worker.
    /// @return how many more tasks of the step fit there.
    [[nodiscard]] std::uint32_t tasks_that_fit(const live_step& step, const worker_state& worker) const;

private:
    /// The best choice so far.
    struct best_choice {
        std::optional<core::worker_id> worker;
        double cost = std::numeric_limits<double>::max();
    };

    void consider(const live_step& step, std::uint32_t index, const worker_state& worker,
                  core::steady_time now, best_choice& best) const;

    const dispatch_state& state;
};

} // namespace rattanmount::dispatch
