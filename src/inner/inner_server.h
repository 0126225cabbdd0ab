#pragma once

#include "cell/peer_calls.h"
#include "core/endpoint.h"
#include "core/time.h"
#include "inner/framing.h"
#include "inner/traffic_counters.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <thread>

namespace apache::thrift::server {
class TThreadedServer;
}

namespace rattanmount::inner {

class call_tracker;
class listener;

struct inner_server_options {
    core::endpoint listen; ///< Port 0 selects a free port.
    /// Connections served at the same time, each by its own thread; further connections wait to be accepted.
    /// Must be at least the number of peers times the connections that each peer's client may open.
    std::uint32_t max_connections = 64;
    core::milliseconds idle_limit{60000}; ///< A connection without a request for this long is closed.
    /// How long no call must have been running before stop() closes connections.
    core::milliseconds quiet_time{100};
    std::size_t max_message_bytes = default_max_message_bytes;
    cell::peer_calls calls; ///< Called by the connection threads, concurrently.
    std::shared_ptr<traffic_counters> counters = std::make_shared<traffic_counters>();
};

/// Serves the calls of the other entry hosts.
///
/// Create it, call start(), and call stop() at shutdown. Owned by the entry host; start() and stop() must be
/// called from the same thread. The hooks run on the server's traffic threads and may block up to the limit
/// that each call passes to them.
class inner_server {
public:
    explicit inner_server(inner_server_options options);
    ~inner_server();

    inner_server(const inner_server&) = delete;
    inner_server& operator=(const inner_server&) = delete;

    /// Starts to listen and serve.
    /// @throws core::unavailable if it cannot listen on the address.
    void start();

    /// Stops accepting connections, lets running calls and calls that still arrive on open connections
    /// finish, and closes the connections. Returns when no hook is running.
    /// @param grace how long calls may take to finish. After that the connections are aborted; stop() still
    /// waits for the running hooks, whose own limits bound the wait.
    void stop(core::milliseconds grace);

    /// @return the address it listens on, with the actual port.
    [[nodiscard]] core::endpoint endpoint() const;

    [[nodiscard]] const traffic_counters& counters() const;

private:
    inner_server_options options;
    std::shared_ptr<call_tracker> tracker;
    std::shared_ptr<listener> socket;
    std::unique_ptr<apache::thrift::server::TThreadedServer> server;
    std::thread accept_thread;
};

} // namespace rattanmount::inner
