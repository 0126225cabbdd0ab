#include "app/order_runner.h"

#include "core/errors.h"
#include "telemetry/logging.h"

#include <exception>
#include <utility>

namespace rattanmount::app {

using control::host_control;

namespace {

/// Runs a call and returns a fallback reply if the client throws.
///
/// For append, read, lease and start orders: the control thread waits for their reply without a timeout. A
/// move makes its reply itself; actions, heartbeats, fleet lists and configuration copies need no reply if
/// they fail.
/// @param fallback a reply that says nothing about the effect of the call.
template <typename Reply, typename Call>
Reply reply_or_fallback(Reply fallback, const Call& call) {
    try {
        return call();
    } catch (const std::exception& error) {
        telemetry::log_state("client_failed", {{"reason", error.what()}}, telemetry::log_level::error);
        return fallback;
    }
}

} // namespace

order_runner::order_runner(order_runner_options options)
    : options(std::move(options)), log_pool({.name = "log", .threads = this->options.log_threads}),
      lease_pool({.name = "lease", .threads = this->options.worker_threads}),
      start_pool({.name = "start", .threads = this->options.worker_threads}),
      peer_pool({.name = "peer", .threads = this->options.peer_threads}),
      fleet_pool({.name = "fleet", .threads = 1}) {}

control::host_hooks order_runner::hooks() {
    return {.append = [this](const auto& request) { this->append(request); },
            .read = [this](const auto& request) { this->read(request); },
            .lease = [this](const auto& order) { this->lease(order); },
            .start = [this](const auto& order) { this->start(order); },
            .act = [this](const auto& order) { this->act(order); },
            .move = [this](const auto& order) { this->move(order); },
            .heartbeat = [this](const auto& peer, const auto& view) { this->heartbeat(peer, view); },
            .fetch_fleet = [this] { this->fetch_fleet(); },
            .copy_config = [this](const auto& peer) { this->copy_config(peer); },
            .on_change = this->options.on_change,
            .wall_time = [] { return std::chrono::system_clock::now(); },
            .hybrid_time = this->options.hybrid_time};
}

void order_runner::stop() {
    for (auto* pool :
         {&this->log_pool, &this->lease_pool, &this->start_pool, &this->peer_pool, &this->fleet_pool}) {
        pool->stop();
    }
}

std::size_t order_runner::queued() const {
    return this->log_pool.queued() + this->lease_pool.queued() + this->start_pool.queued() +
           this->peer_pool.queued();
}

void order_runner::append(const ledger::append_request& request) {
    this->log_pool.post([this, request] {
        const auto reply = reply_or_fallback<external::append_reply>({.reason = "the client failed"}, [&] {
            return this->options.log.append(request.stream, request.bytes, this->options.log_timeout);
        });
        this->control.load()->reply([request, reply](host_control& state, core::steady_time now) {
            state.on_append(request.stream, request.sequence, reply, now);
        });
    });
}

void order_runner::read(const ledger::read_request& request) {
    this->log_pool.post([this, request] {
        const auto reply = reply_or_fallback<external::read_reply>({.reason = "the client failed"}, [&] {
            return this->options.log.read(request.stream, request.from, this->options.max_read_bytes,
                                          this->options.log_timeout);
        });
        this->control.load()->reply([request, reply](host_control& state, core::steady_time now) {
            state.on_read(request.stream, request.from, reply, now);
        });
    });
}

void order_runner::lease(const control::lease_order& order) {
    this->lease_pool.post([this, order] {
        const auto reply = reply_or_fallback<external::lease_reply>({}, [&] {
            return this->options.workers.lease(order.address, order.request, this->options.worker_timeout);
        });
        this->control.load()->reply([order, reply](host_control& state, core::steady_time now) {
            state.on_lease(order, reply, now);
        });
    });
}

void order_runner::start(const control::start_order& order) {
    this->start_pool.post([this, order] {
        external::start_reply reply{.verdict = external::start_verdict::refused,
                                    .reason = "the lease lapsed before the start was sent"};
        // The process may have been suspended since the order was given, so the lease is checked immediately
        // before the call.
        if (std::chrono::steady_clock::now() < order.not_after) {
            reply = reply_or_fallback<external::start_reply>({.reason = "the client failed"}, [&] {
                return this->options.workers.start(order.address, order.lease, order.attempt, order.each,
                                                   order.payload, this->options.worker_timeout);
            });
        }
        this->control.load()->reply([order, reply](host_control& state, core::steady_time now) {
            state.on_start(order, reply, now);
        });
    });
}

void order_runner::act(const control::act_order& order) {
    this->start_pool.post([this, order] {
        // The result is ignored: the worker's next inventory shows the effect, and the order is repeated if
        // it had none.
        static_cast<void>(this->options.workers.act(order.address, order.lease, order.attempt, order.action,
                                                    this->options.worker_timeout));
    });
}

void order_runner::move(const control::move_order& order) {
    this->peer_pool.post([this, order] {
        bool taken = false;
        try {
            const auto answer =
                this->options.connect(order.peer)
                    .take_job(order.to, order.spec, order.accepted_at, this->options.move_timeout);
            taken = answer.is_owner && (answer.answer.state == core::answer_state::accepted ||
                                        answer.answer.state == core::answer_state::ended);
        } catch (const core::error&) {
            taken = false;
        }
        this->control.load()->reply([order, taken](host_control& state, core::steady_time now) {
            state.on_moved(order, taken, now);
        });
    });
}

void order_runner::heartbeat(const core::endpoint& peer, const cell::peer_view& view) {
    this->peer_pool.post([this, peer, view] {
        try {
            const auto answer = this->options.connect(peer).heartbeat(view, this->options.peer_timeout);
            this->options.observe_time(answer.clock);
            this->control.load()->reply(
                [answer](host_control& state, core::steady_time now) { state.on_view(answer, now); });
        } catch (const core::error&) {
            // No action is needed: membership suspects a peer whose heartbeats stop.
            return;
        }
    });
}

void order_runner::fetch_fleet() {
    if (this->fleet_in_flight.exchange(true)) {
        return;
    }
    this->fleet_pool.post([this] {
        try {
            const auto list = this->options.fleet.list(this->options.fleet_timeout);
            this->control.load()->reply(
                [list](host_control& state, core::steady_time now) { state.on_fleet(list, now); });
        } catch (const core::error&) {
            // The last fetched list stays in use.
            this->fleet_in_flight = false;
            return;
        }
        this->fleet_in_flight = false;
    });
}

void order_runner::copy_config(const core::endpoint& peer) {
    this->peer_pool.post([this, peer] {
        try {
            const auto copy = this->options.connect(peer).copy_config(this->options.peer_timeout);
            this->control.load()->reply(
                [copy](host_control& state, core::steady_time now) { state.on_config_copy(copy, now); });
        } catch (const core::error&) {
            return;
        }
    });
}

} // namespace rattanmount::app
