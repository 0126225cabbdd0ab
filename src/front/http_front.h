#pragma once

#include "core/activity.h"
#include "core/calls.h"
#include "core/endpoint.h"
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

/// What an http_front is made of.
struct http_front_options {
    core::endpoint listen;                     ///< Port 0 takes a free port.
    std::uint32_t max_threads = 128;           ///< Connections served at once, each by a thread.
    std::uint32_t max_queued = 64;             ///< Connections that may wait for a thread.
    std::size_t max_body_bytes = 1'048'576;    ///< Larger requests are refused.
    core::milliseconds receive_timeout{10000};   ///< For a request to arrive.
    core::milliseconds keep_alive_timeout{5000}; ///< A connection that is idle for longer is closed.
    core::milliseconds quiet_time{100};        ///< How long no request may have run before a stop ends.
    core::milliseconds default_limit{5000};    ///< For a request that names no limit.
    core::milliseconds max_limit{60000};   ///< A request that names a longer one is refused.
    core::cell_calls calls;                    ///< Called by traffic threads, many at once.
    std::shared_ptr<front_counters> counters = std::make_shared<front_counters>();
};

/// Serves callers and operators over HTTP; docs/API.md describes what it takes and answers.
///
/// Make one, start() it, and stop() it at the end. Owned by the entry host; start() and stop() are called by
/// one thread, set_ready() by any. The hooks run on traffic threads of this class.
class http_front {
public:
    explicit http_front(http_front_options options);
    ~http_front();

    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /// Listens and serves from here on.
    /// @throws core::unavailable where the address cannot be listened on.
    void start();

    /// @param value whether /ready may answer that this host takes work; it asks the hook as well.
    void set_ready(bool value);

    /// Refuses new connections, answers every request that runs or still arrives on an open connection, and
    /// closes each connection after its answer. Returns when no hook runs any more.
    /// @param grace how long requests may take to end; connections are cut after it, and the hooks that still
    /// run are awaited, which their own limits bound.
    void stop(core::milliseconds grace);

    /// @return where it listens, with the port that was taken.
    [[nodiscard]] core::endpoint endpoint() const;

    /// @return what it has done.
    [[nodiscard]] const front_counters& counters() const;

private:
    [[nodiscard]] routes_options make_routes_options();
    [[nodiscard]] connection_server_options make_server_options();
    void serve(const Poco::Net::StreamSocket& socket, open_connection& connection, bool overloaded);

    http_front_options options;
    std::atomic<bool> ready{true};
    std::atomic<bool> stopping{false};
    core::activity requests;
    routes router;
    connection_server server;
};

} // namespace rattanmount::front
