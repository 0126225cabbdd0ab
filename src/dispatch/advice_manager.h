#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/worker_selector.h"

#include <cstdint>
#include <vector>

namespace rattanmount::dispatch {

/// Asks which workers may run the steps that wait, and keeps what was said.
///
/// The permission of a step for a worker never changes, so only tickets are asked for again. The number of
/// questions that are out at a time is bounded by the number of hosts that can ask. Some of them are kept for
/// questions that take little time, so that short work never waits behind the long questions of long work.
/// Owned by the dispatcher; the control thread only.
class advice_manager {
public:
    advice_manager(dispatch_state& state, const worker_selector& choice) : state(state), selector(choice) {}

    /// @param lines how many questions may be out at a time.
    void set_max_requests(std::uint32_t lines) { this->max_requests = lines; }

    /// Asks for a step whose tasks find no worker that they may run on.
    /// @param step the step.
    /// @param now the time.
    void ask(live_step& step, core::steady_time now);

    /// Takes the answer.
    /// @param order the question.
    /// @param asked_at when it was asked.
    /// @param reply the answer.
    /// @param now the time.
    void on_reply(const advice_order& order, core::steady_time asked_at, const advice_reply& reply,
                  core::steady_time now);

    /// Forgets questions that are out, since this host no longer leads.
    void reset() { this->requests_in_flight = this->long_requests_in_flight = 0; }

private:
    [[nodiscard]] bool can_send_request(bool lengthy) const;
    [[nodiscard]] std::vector<core::worker_id> workers_to_ask_about(const live_step& step,
                                                                    core::steady_time now) const;

    dispatch_state& state;
    const worker_selector& selector;
    std::uint32_t max_requests = 1;
    std::uint32_t requests_in_flight = 0;
    std::uint32_t long_requests_in_flight = 0; ///< Questions among them that take long.
    /// By queue, how many of the workers asked for may run a step: a fading mean.
    std::map<workflow::queue_id, double> allowed_share;
};

} // namespace rattanmount::dispatch
