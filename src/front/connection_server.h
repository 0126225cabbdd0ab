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

/// Takes a connection until its end.
using serve_hook = std::function<void(const Poco::Net::StreamSocket&, open_connection&)>;

/// What a connection_server is made of.
struct connection_server_options {
    core::endpoint listen;
    std::uint32_t max_threads = 1;
    std::uint32_t max_queued = 1;
    core::milliseconds first_request_timeout{10000}; ///< How long a thread waits for it while others wait.
    /// Serves a connection until its end; called by worker threads, many at once.
    serve_hook serve;
    /// Refuses the one request of a connection; called by one thread.
    serve_hook refuse;
    std::shared_ptr<front_counters> counters;
};

/// Accepts connections and gives each to a thread of its own, with bounds for both.
///
/// A connection that finds all threads taken waits in a bounded queue. While any wait, the one that has been
/// idle the longest is closed, but none that has just been used; one that has never sent a whole request
/// counts as idle after a longer time. A connection that finds the queue full is refused by a thread that
/// does nothing else. Owned by the front end; start(), stop_accepting() and finish() are called by one
/// thread, in this order.
class connection_server {
public:
    explicit connection_server(connection_server_options options);
    ~connection_server();

    connection_server(const connection_server&) = delete;
    connection_server& operator=(const connection_server&) = delete;

    /// Listens and serves from here on.
    /// @throws core::unavailable where the address cannot be listened on.
    void start();

    /// Closes the listening socket. Connections that are open or queued are still served.
    void stop_accepting();

    /// Lets the open connections end after what they have received, and ends the threads.
    /// @param until when connections that are still served are cut.
    void finish(core::steady_time deadline);

    /// @return whether connections wait for a thread, so that served ones had better end.
    [[nodiscard]] bool has_waiting_connections() const;

    /// @return where it listens, with the port that was taken.
    [[nodiscard]] core::endpoint endpoint() const;

private:
    using socket_queue = std::deque<std::unique_ptr<Poco::Net::StreamSocket>>;

    void accept_connections();
    void wait_for_pending_accepts();
    void enqueue(std::unique_ptr<Poco::Net::StreamSocket> connected);
    void serve_queue(socket_queue& queue, const serve_hook& serve);
    /// Where connections wait, makes the one end that has been idle the longest.
    void end_idle_connection();

    connection_server_options options;
    Poco::Net::ServerSocket socket;
    std::uint16_t port = 0;

    mutable std::mutex mutex; ///< Guards all below but the threads.
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
