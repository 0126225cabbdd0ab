#pragma once

#include "core/calls.h"
#include "core/endpoint.h"
#include "core/request_tracker.h"
#include "core/time.h"
#include "front/connection_server.h"
#include "front/front_counters.h"
#include "front/routes.h"

#include <Poco/Net/HTTPServerParams.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace rattanmount::front {

/// The settings of an http_front.
struct http_front_options {
    core::endpoint listen;                       ///< Port 0 selects a free port.
    std::uint32_t max_threads = 128;             ///< Connections served at once, each by its own thread.
    std::uint32_t max_queued = 64;               ///< Connections that may wait for a thread.
    std::size_t max_body_bytes = 1'048'576;      ///< Larger requests are refused.
    core::milliseconds receive_timeout{10000};   ///< For a request to arrive completely.
    core::milliseconds keep_alive_timeout{5000}; ///< A connection that is idle for longer is closed.
    core::milliseconds quiet_time{100};          ///< stop() waits until no request has run for this long.
    core::milliseconds default_limit{5000};      ///< The time limit of a request that states none.
    core::milliseconds max_limit{60000};         ///< A request that states a longer time limit is refused.
    core::cell_calls calls;                      ///< Called concurrently by traffic threads.
    std::shared_ptr<front_counters> counters = std::make_shared<front_counters>();
};

/// Serves the HTTP API of the cell to callers and operators; docs/API.md describes the requests and
/// responses.
///
/// Construct it, then call start(), and stop() at the end. Owned by the entry host; start() and stop() are
/// called by one thread, set_ready() by any. The hooks run on the traffic threads of this object.
class http_front {
public:
    explicit http_front(http_front_options options);
    ~http_front();

    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /// Starts listening and serving.
    /// @throws core::unavailable if it cannot listen on the address.
    void start();

    /// Sets whether /ready may report that this host accepts work; calls.ready has to agree.
    void set_ready(bool value);

    /// Accepts no more connections, answers the requests that run and those that still arrive on open
    /// connections, closes each connection after its response, and returns when no hook runs.
    /// @param grace how long requests may take to end. After it, connections are aborted; the call still
    /// waits for running hooks, which end within their own time limits.
    void stop(core::milliseconds grace);

    /// @return the listening address with the actual port.
    [[nodiscard]] core::endpoint endpoint() const;

    [[nodiscard]] const front_counters& counters() const;

private:
    [[nodiscard]] routes_options make_routes_options();
    [[nodiscard]] connection_server_options make_server_options();
    void serve(const Poco::Net::StreamSocket& socket, open_connection& connection, bool overloaded);

    http_front_options options;
    std::atomic<bool> ready{true};
    std::atomic<bool> stopping{false};
    core::request_tracker requests;
    routes router;
    connection_server server;
};

} // namespace rattanmount::front
