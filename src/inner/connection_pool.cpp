#include "inner/connection_pool.h"

#include "core/errors.h"

#include <cassert>
#include <utility>

namespace rattanmount::inner {

connection_pool::connection_pool(connection_pool_options options) : options(std::move(options)) {
    assert(this->options.max_connections > 0);
}

std::unique_ptr<peer_connection> connection_pool::take(core::steady_time deadline) {
    std::unique_lock lock{this->mutex};
    const auto available = [this] { return this->in_use < this->options.max_connections; };
    if (!this->connection_freed.wait_until(lock, deadline, available)) {
        throw core::unavailable("all connections are in use");
    }
    this->in_use++;
    if (auto connection = this->take_idle()) {
        return connection;
    }
    return std::make_unique<peer_connection>(this->options.peer, this->options.limits,
                                             this->options.counters);
}

void connection_pool::give_back(std::unique_ptr<peer_connection> connection) {
    const std::lock_guard lock{this->mutex};
    assert(this->in_use > 0);
    this->in_use--;
    this->idle.push_back({.connection = std::move(connection), .since = std::chrono::steady_clock::now()});
    this->connection_freed.notify_one();
}

void connection_pool::discard(std::unique_ptr<peer_connection> connection) {
    connection.reset();
    const std::lock_guard lock{this->mutex};
    assert(this->in_use > 0);
    this->in_use--;
    this->connection_freed.notify_one();
}

void connection_pool::close_idle() {
    const std::lock_guard lock{this->mutex};
    this->idle.clear();
}

std::unique_ptr<peer_connection> connection_pool::take_idle() {
    const auto oldest = std::chrono::steady_clock::now() - this->options.idle_limit;
    while (!this->idle.empty()) {
        auto last = std::move(this->idle.back());
        this->idle.pop_back();
        if (last.since >= oldest && !last.connection->is_stale()) {
            return std::move(last.connection);
        }
    }
    return nullptr;
}

} // namespace rattanmount::inner
