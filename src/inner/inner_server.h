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

/// What an inner_server is made of.
struct inner_server_options {
    core::endpoint listen; ///< Port 0 takes a free port.
    /// Connections served at once, each by a thread of its own; more wait to be accepted. At least the
    /// number of peers times the connections that each of their clients may open.
    std::uint32_t max_connections = 64;
    core::milliseconds idle_limit{60000}; ///< A connection without a request for so long is closed.
    core::milliseconds quiet_time{100};   ///< How long no call may have run before a stop closes connections.
    std::size_t max_message_bytes = default_max_message_bytes;
    cell::peer_calls calls; ///< Called by the threads of the connections, many at once.
    std::shared_ptr<traffic_counters> counters = std::make_shared<traffic_counters>();
};

/// Takes the calls of the other entry hosts.
///
/// Make one, start() it, and stop() it at the end. Owned by the entry host; start() and stop() are called
/// by one thread. The hooks run on traffic threads of the server and may block up to the limit given to them.
class inner_server {
public:
    explicit inner_server(inner_server_options options);
    ~inner_server();

    inner_server(const inner_server&) = delete;
    inner_server& operator=(const inner_server&) = delete;

    /// Listens and serves from here on.
    /// @throws core::unavailable where the address cannot be listened on.
    void start();

    /// Takes no new connections, lets the calls that run and those that still arrive on open connections end,
    /// and closes the connections. Returns when no hook runs any more.
    /// @param grace how long calls may take to end; connections are cut after it, and the hooks that still
    /// run are awaited, which their own limits bound.
    void stop(core::milliseconds grace);

    /// @return where it listens, with the port that was taken.
    [[nodiscard]] core::endpoint endpoint() const;

    /// @return what it has moved.
    [[nodiscard]] const traffic_counters& counters() const;

private:
    inner_server_options options;
    std::shared_ptr<call_tracker> tracker;
    std::shared_ptr<listener> socket;
    std::unique_ptr<apache::thrift::server::TThreadedServer> server;
    std::thread accept_thread;
};

} // namespace rattanmount::inner
