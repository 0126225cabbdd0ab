#include "external/connection_pool.h"

#include "core/errors.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace rattanmount::external {

connection_pool::connection_pool(connection_pool_options options, traffic_counters& counters)
    : options(options), counters(counters),
      sweeper([this](const std::stop_token& stop) { this->sweep(stop); }) {
    assert(options.max_connections > 0 && options.idle_limit.count() > 0);
}

connection_pool::~connection_pool() {
    this->sweeper.request_stop();
    this->sweeper.join();
}

std::unique_ptr<http_connection> connection_pool::acquire(const core::endpoint& peer,
                                                          core::steady_time deadline) {
    const auto give_up = std::min(deadline, std::chrono::steady_clock::now() + this->options.max_wait);
    std::unique_lock lock{this->mutex};
    while (true) {
        auto& state = this->state_of(peer);
        const auto now = std::chrono::steady_clock::now();
        if (auto connection = this->take_idle(state, now)) {
            return connection;
        }
        if (state.budget.take(now)) {
            lock.unlock();
            return this->open(peer, deadline);
        }
        this->wait_for_connection(lock, peer, give_up);
    }
}

void connection_pool::release(const core::endpoint& peer, std::unique_ptr<http_connection> connection,
                              const http_answer& answer) {
    assert(connection != nullptr);
    connections closed;
    const std::lock_guard lock{this->mutex};
    auto& state = this->state_of(peer);
    const auto now = std::chrono::steady_clock::now();
    if (answer.outcome == exchange_outcome::answered && answer.keep_alive) {
        if (state.idle.size() < this->options.max_idle) {
            state.idle.push_back(std::move(connection));
        } else {
            this->retire(state, this->options.close_time, now);
        }
    } else if (answer.outcome == exchange_outcome::answered) {
        state.budget.give_back();
    } else {
        this->retire(state, this->options.linger, now);
        if (connection->reused()) {
            this->close_unverified(state, connection->last_send(), closed);
        }
    }
    if (this->waiting > 0) {
        this->changed.notify_all();
    }
}

std::size_t connection_pool::used(const core::endpoint& peer) {
    const std::lock_guard lock{this->mutex};
    return this->state_of(peer).budget.used(std::chrono::steady_clock::now());
}

std::size_t connection_pool::idle(const core::endpoint& peer) {
    const std::lock_guard lock{this->mutex};
    return this->state_of(peer).idle.size();
}

connection_pool::peer_state& connection_pool::state_of(const core::endpoint& peer) {
    return this->peers.try_emplace(peer, this->options.max_connections).first->second;
}

std::unique_ptr<http_connection> connection_pool::take_idle(peer_state& state, core::steady_time now) {
    while (!state.idle.empty()) {
        auto connection = std::move(state.idle.back());
        state.idle.pop_back();
        if (!connection->is_usable()) {
            state.budget.give_back();
        } else if (this->expired(*connection, now)) {
            this->retire(state, this->options.close_time, now);
        } else {
            return connection;
        }
    }
    return nullptr;
}

void connection_pool::wait_for_connection(std::unique_lock<std::mutex>& lock, const core::endpoint& peer,
                                          core::steady_time give_up) {
    if (std::chrono::steady_clock::now() >= give_up) {
        throw core::unavailable("all connections to " + peer.text() + " are in use");
    }
    const auto release = this->state_of(peer).budget.next_release().value_or(give_up);
    this->waiting++;
    this->changed.wait_until(lock, std::min(give_up, release));
    this->waiting--;
}

std::unique_ptr<http_connection> connection_pool::open(const core::endpoint& peer,
                                                       core::steady_time deadline) {
    try {
        return std::make_unique<http_connection>(peer, deadline, this->counters);
    } catch (const std::exception&) {
        // The peer may have accepted a connection that timed out on this side.
        const bool late = std::chrono::steady_clock::now() >= deadline;
        this->give_back(peer, late ? this->options.linger : core::milliseconds{0});
        throw;
    }
}

void connection_pool::give_back(const core::endpoint& peer, core::milliseconds linger) {
    const std::lock_guard lock{this->mutex};
    this->retire(this->state_of(peer), linger, std::chrono::steady_clock::now());
    this->changed.notify_all();
}

bool connection_pool::expired(const http_connection& connection, core::steady_time now) const {
    return connection.last_verified() + this->options.idle_limit <= now;
}

void connection_pool::retire(peer_state& state, core::milliseconds linger, core::steady_time now) {
    if (linger.count() > 0) {
        state.budget.linger(now + linger);
    } else {
        state.budget.give_back();
    }
}

void connection_pool::close_unverified(peer_state& state, core::steady_time since, connections& closed) {
    const auto first = std::stable_partition(state.idle.begin(), state.idle.end(), [since](const auto& one) {
        return one->last_verified() >= since;
    });
    const auto now = std::chrono::steady_clock::now();
    for (auto one = first; one != state.idle.end(); ++one) {
        this->retire(state, this->options.linger, now);
    }
    closed.insert(closed.end(), std::make_move_iterator(first), std::make_move_iterator(state.idle.end()));
    state.idle.erase(first, state.idle.end());
}

void connection_pool::close_expired(core::steady_time now, connections& closed) {
    for (auto peer = this->peers.begin(); peer != this->peers.end();) {
        auto& state = peer->second;
        while (!state.idle.empty() && this->expired(*state.idle.front(), now)) {
            closed.push_back(std::move(state.idle.front()));
            state.idle.erase(state.idle.begin());
            this->retire(state, this->options.close_time, now);
        }
        peer = state.idle.empty() && state.budget.used(now) == 0 ? this->peers.erase(peer) : std::next(peer);
    }
}

void connection_pool::sweep(const std::stop_token& stop) {
    const auto interval = std::max(this->options.idle_limit / 2, core::milliseconds{1});
    std::unique_lock lock{this->mutex};
    while (!stop.stop_requested()) {
        this->sweeper_wakeup.wait_for(lock, stop, interval, [] { return false; });
        connections closed;
        this->close_expired(std::chrono::steady_clock::now(), closed);
    }
}

} // namespace rattanmount::external
