#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/task_placer.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattanmount::dispatch {

/// Asks the advisory service which workers may run the waiting steps, and caches the answers.
///
/// Permissions never change, so only expired tickets are requested again. The number of requests in flight is
/// limited by the number of hosts that can send one. Part of this limit is reserved for short requests, so
/// that short jobs do not wait behind the slow requests of long jobs, and one queue may not use all of the
/// rest. A gang asks about workers that could run it once their present runs have ended, and has the tickets
/// renewed when the places that are kept for it become free. Owned by the dispatcher; used by the control
/// thread only.
class advice_manager {
public:
    advice_manager(dispatch_state& state, const task_placer& choice) : state(state), selector(choice) {}

    /// @param count the limit of requests in flight.
    void set_max_requests(std::uint32_t count) { this->max_requests = count; }

    /// Sends a request for a step, unless one is in flight or the limit is reached.
    /// @param step the step.
    /// @param places for how many tasks a worker is needed: those that wait or are to be moved.
    /// @param now the current time.
    void ask(live_step& step, std::size_t places, core::steady_time now);

    /// Applies the answer to a request.
    /// @param order the request.
    /// @param asked_at when it was sent.
    /// @param reply the answer.
    /// @param now the current time.
    void on_reply(const advice_order& order, core::steady_time asked_at, const advice_reply& reply,
                  core::steady_time now);

    /// Forgets the requests in flight. Called when this host no longer leads.
    void reset() { this->requests.clear(); }

private:
    /// A request in flight.
    struct request {
        workflow::queue_id queue;
        bool is_long = false; ///< Whether it is expected to take long.
    };
    struct candidate {
        double cost;
        const worker_state* worker;
        std::uint32_t count; ///< Tasks of the step that fit there.
        bool known;          ///< Whether advice has permitted the step there before.
    };

    [[nodiscard]] bool can_send_request(const workflow::queue_id& queue, bool is_long) const;
    [[nodiscard]] std::vector<candidate> candidates_for(const live_step& step, core::steady_time now) const;
    /// @return how many tasks of a gang the workers that are allowed could take once their present runs have
    /// ended.
    [[nodiscard]] std::size_t places_known(const live_step& step, core::steady_time now) const;
    /// @return the workers with kept places that need a new ticket; none while most of the places have no
    /// room.
    [[nodiscard]] std::vector<core::worker_id> kept_workers_to_ask_about(const live_step& step,
                                                                         core::steady_time now) const;
    /// @return whether the workers that are already allowed have room for that many tasks of the step.
    [[nodiscard]] bool has_enough(const live_step& step, std::size_t places, core::steady_time now) const;
    /// @return workers with room now that would complete the places of a gang whose permitted workers are
    /// busy; none if the gang is not expected to fit on them either.
    [[nodiscard]] std::vector<core::worker_id>
    free_workers_to_ask_about(const live_step& step, std::size_t places, core::steady_time now) const;
    /// @return the share of the workers that advice is expected to allow the step.
    [[nodiscard]] double share_allowed(const live_step& step) const;
    /// @param expected the places that are known already.
    /// @param share the share of unknown workers that advice is expected to allow.
    /// @return the first workers that together are expected to give the places, and some to spare.
    [[nodiscard]] static std::vector<core::worker_id>
    name_workers(const std::vector<candidate>& candidates, std::size_t places, double expected, double share);
    [[nodiscard]] std::vector<core::worker_id>
    gang_workers_to_ask_about(const live_step& step, std::size_t places, core::steady_time now) const;
    [[nodiscard]] std::vector<core::worker_id> workers_to_ask_about(const live_step& step, std::size_t places,
                                                                    core::steady_time now) const;

    dispatch_state& state;
    const task_placer& selector;
    std::uint32_t max_requests = 1;
    std::map<workflow::step_name, request> requests; ///< Those in flight; at most one per step.
    /// Per queue, the share of the requested workers that are allowed; an exponentially weighted mean.
    std::map<workflow::queue_id, double> allowed_share;
};

} // namespace rattanmount::dispatch
