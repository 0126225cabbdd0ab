#include "front/connection_server.h"

#include "core/errors.h"
#include "front/timespan.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

#include <algorithm>
#include <cassert>
#include <sys/socket.h>
#include <utility>

namespace rattanmount::front {

namespace {

constexpr int accept_backlog = 128;
/// The delay after a failed accept, which means that the process is out of file descriptors.
constexpr core::milliseconds accept_retry_delay{50};
/// A connection that has been idle for less time is not closed, because its next request may be in transit.
constexpr core::milliseconds min_idle_time{100};
/// The longest wait of a stop for the connections that were established before it to be accepted.
constexpr core::milliseconds max_pending_wait{500};
constexpr core::milliseconds pending_check_interval{1};
/// How often to look for an idle connection to close while others wait.
constexpr core::milliseconds idle_check_interval{20};

} // namespace

connection_server::connection_server(connection_server_options options) : options(std::move(options)) {
    assert(this->options.max_threads > 0 && this->options.max_queued > 0);
    assert(this->options.serve && this->options.refuse && this->options.counters);
}

connection_server::~connection_server() {
    this->stop_accepting();
    this->finish(std::chrono::steady_clock::now());
}

void connection_server::start() {
    assert(this->threads.empty());
    try {
        const Poco::Net::SocketAddress address{this->options.listen.address, this->options.listen.port};
        this->socket.bind(address, true);
        this->socket.listen(accept_backlog);
        this->port = this->socket.address().port();
    } catch (const Poco::Exception& error) {
        throw core::unavailable("cannot listen on " + this->options.listen.text() + ": " +
                                error.displayText());
    }
    this->accepting = true;
    this->live_threads = this->options.max_threads + 1;
    for (std::uint32_t i = 0; i < this->options.max_threads; i++) {
        this->threads.emplace_back(
            [this] { this->serve_queue(this->waiting_connections, this->options.serve); });
    }
    this->threads.emplace_back(
        [this] { this->serve_queue(this->connections_to_refuse, this->options.refuse); });
    this->accept_thread = std::thread{[this] { this->accept_connections(); }};
}

void connection_server::stop_accepting() {
    if (!this->accept_thread.joinable()) {
        return;
    }
    this->wait_for_pending_accepts();
    {
        const std::lock_guard lock{this->mutex};
        this->accepting = false;
    }
    ::shutdown(this->socket.impl()->sockfd(), SHUT_RDWR);
    this->queued.notify_all();
    this->accept_thread.join();
    this->socket.close();
}

void connection_server::wait_for_pending_accepts() {
    // Closing the listening socket resets the connections that the kernel has established but that have not
    // yet been accepted.
    const auto give_up = std::chrono::steady_clock::now() + max_pending_wait;
    while (this->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) &&
           std::chrono::steady_clock::now() < give_up) {
        std::this_thread::sleep_for(pending_check_interval);
    }
}

void connection_server::finish(core::steady_time deadline) {
    std::unique_lock lock{this->mutex};
    assert(!this->accepting);
    this->finishing = true;
    this->queued.notify_all();
    for (auto& connection : this->open_connections) {
        connection.stop_reading();
    }
    const auto all_ended = [this] { return this->live_threads == 0; };
    if (!this->thread_ended.wait_until(lock, deadline, all_ended)) {
        this->waiting_connections.clear();
        this->connections_to_refuse.clear();
        for (const auto& connection : this->open_connections) {
            connection.abort();
        }
    }
    lock.unlock();
    for (auto& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

bool connection_server::has_waiting_connections() const {
    const std::lock_guard lock{this->mutex};
    return !this->waiting_connections.empty();
}

core::endpoint connection_server::endpoint() const {
    return {.address = this->options.listen.address, .port = this->port, .path = ""};
}

void connection_server::accept_connections() {
    for (;;) {
        try {
            if (this->has_waiting_connections() &&
                !this->socket.poll(to_timespan(idle_check_interval), Poco::Net::Socket::SELECT_READ)) {
                this->end_idle_connection();
                continue;
            }
            auto connected = std::make_unique<Poco::Net::StreamSocket>(this->socket.acceptConnection());
            this->enqueue(std::move(connected));
        } catch (const Poco::Exception&) {
            std::unique_lock lock{this->mutex};
            if (this->queued.wait_for(lock, accept_retry_delay, [this] { return !this->accepting; })) {
                return;
            }
        }
    }
}

void connection_server::enqueue(std::unique_ptr<Poco::Net::StreamSocket> connected) {
    const std::lock_guard lock{this->mutex};
    if (this->waiting_connections.size() < this->free_threads + this->options.max_queued) {
        this->waiting_connections.push_back(std::move(connected));
    } else if (this->connections_to_refuse.size() < this->options.max_queued) {
        this->connections_to_refuse.push_back(std::move(connected));
    } else {
        this->options.counters->dropped_connections++;
        return;
    }
    this->queued.notify_all();
}

void connection_server::serve_queue(socket_queue& queue, const serve_hook& serve) {
    std::unique_lock lock{this->mutex};
    const bool is_serving_queue = &queue == &this->waiting_connections;
    for (;;) {
        this->free_threads += is_serving_queue ? 1 : 0;
        this->queued.wait(lock, [&] { return !queue.empty() || this->finishing; });
        this->free_threads -= is_serving_queue ? 1 : 0;
        if (queue.empty()) {
            break;
        }
        const auto connected = std::move(queue.front());
        queue.pop_front();
        this->options.counters->connections++;
        const auto entry =
            this->open_connections.emplace(this->open_connections.end(), connected->impl()->sockfd());
        if (this->finishing) {
            entry->stop_reading();
        }
        lock.unlock();
        try {
            serve(*connected, *entry);
        } catch (const std::exception&) {
            // The connection failed, so no response can be sent.
        }
        lock.lock();
        this->open_connections.erase(entry);
    }
    this->live_threads--;
    this->thread_ended.notify_all();
}

void connection_server::end_idle_connection() {
    const std::lock_guard lock{this->mutex};
    const auto now = std::chrono::steady_clock::now();
    open_connection* oldest = nullptr;
    auto oldest_since = now;
    for (auto& connection : this->open_connections) {
        const auto required_idle_time =
            connection.has_answered() ? min_idle_time : this->options.first_request_timeout;
        const auto since = connection.idle_since();
        if (since && *since + required_idle_time <= now && *since < oldest_since) {
            oldest = &connection;
            oldest_since = *since;
        }
    }
    if (oldest != nullptr && !this->waiting_connections.empty()) {
        oldest->stop_reading();
    }
}

} // namespace rattanmount::front
