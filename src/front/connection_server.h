#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "front/front_counters.h"
#include "front/open_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace rattanmount::front {

/// Serves a connection until it is closed.
using serve_hook = std::function<void(const Poco::Net::StreamSocket&, open_connection&)>;

/// The settings of a connection_server.
struct connection_server_options {
    core::endpoint listen;
    std::uint32_t max_threads = 1; ///< Connections served at once, each by its own thread.
    /// The longest queue for the serving threads, and the longest for the thread that refuses connections.
    std::uint32_t max_queued = 1;
    /// While connections are queued, a connection that has not sent a complete request is closed after this.
    core::milliseconds first_request_timeout{10000};
    /// Serves a connection until it is closed; called concurrently by serving threads.
    serve_hook serve;
    /// Refuses the only request of a connection; called by one thread.
    serve_hook refuse;
    std::shared_ptr<front_counters> counters;
};

/// Accepts connections and serves each on its own thread; both numbers are bounded.
///
/// If all threads are busy, a connection waits in a bounded queue. While the queue is not empty, the
/// connection that has been idle the longest is closed. A connection that has just been used is not closed;
/// one that has not yet sent a complete request counts as idle only after first_request_timeout. If the queue
/// is full, a dedicated thread refuses the connection. Owned by the front end; start(), stop_accepting() and
/// finish() are called by one thread, in this order.
class connection_server {
public:
    explicit connection_server(connection_server_options options);
    ~connection_server();

    connection_server(const connection_server&) = delete;
    connection_server& operator=(const connection_server&) = delete;

    /// Starts listening and serving.
    /// @throws core::unavailable if it cannot listen on the address.
    void start();

    /// Closes the listening socket. Connections that are open or queued are still served.
    void stop_accepting();

    /// Closes the open connections once the requests that have arrived are answered, and ends the threads.
    /// @param deadline when connections that are still being served are aborted.
    void finish(core::steady_time deadline);

    /// @return whether connections wait for a thread, so that a served connection should be closed after its
    /// response.
    [[nodiscard]] bool has_waiting_connections() const;

    /// @return the listening address with the actual port.
    [[nodiscard]] core::endpoint endpoint() const;

private:
    using socket_queue = std::deque<std::unique_ptr<Poco::Net::StreamSocket>>;

    void accept_connections();
    /// Waits until the connections that the kernel has already established are accepted.
    void wait_for_pending_accepts();
    void enqueue(std::unique_ptr<Poco::Net::StreamSocket> connected);
    void serve_queue(socket_queue& queue, const serve_hook& serve);
    /// If connections wait for a thread, closes the one that has been idle the longest.
    void end_idle_connection();

    connection_server_options options;
    Poco::Net::ServerSocket socket;
    std::uint16_t port = 0;

    mutable std::mutex mutex; ///< Guards the members below, except the threads.
    std::condition_variable queued;
    std::condition_variable thread_ended;
    socket_queue waiting_connections;
    socket_queue connections_to_refuse;
    std::list<open_connection> open_connections;
    std::uint32_t free_threads = 0;
    std::uint32_t live_threads = 0;
    bool accepting = false;
    bool finishing = false;

    std::thread accept_thread;
    std::vector<std::thread> threads;
};

} // namespace rattanmount::front
