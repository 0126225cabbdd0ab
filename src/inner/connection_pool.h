#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "inner/peer_connection.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace rattanmount::inner {

struct connection_pool_options {
    core::endpoint peer;
    std::uint32_t max_connections = 4;
    core::milliseconds idle_limit{
        15000}; ///< A connection that was idle for longer is closed instead of reused.
    std::shared_ptr<apache::thrift::TConfiguration> limits;
    std::shared_ptr<traffic_counters> counters;
};

/// A bounded pool of connections to one peer.
///
/// Take a connection for one call, then return it with give_back() or discard(). Owned by a call_runner; any
/// thread may call.
class connection_pool {
public:
    explicit connection_pool(connection_pool_options options);

    /// Takes an idle connection, or creates one that is not yet connected. Blocks while all are in use.
    /// @param deadline when to stop waiting.
    /// @return a connection for the caller's exclusive use.
    /// @throws core::unavailable if all connections are still in use at the deadline.
    [[nodiscard]] std::unique_ptr<peer_connection> take(core::steady_time deadline);

    /// Returns a connection from take() to the pool for reuse. Its last call must have been answered.
    void give_back(std::unique_ptr<peer_connection> connection);

    /// Closes a connection from take(), which must not be reused.
    void discard(std::unique_ptr<peer_connection> connection);

    /// Closes all idle connections. Called after a connection failed, because the others may be dead too.
    void close_idle();

private:
    struct idle_connection {
        std::unique_ptr<peer_connection> connection;
        core::steady_time since;
    };

    /// @return an idle connection that is still usable; nullptr if there is none.
    [[nodiscard]] std::unique_ptr<peer_connection> take_idle();

    connection_pool_options options;
    std::mutex mutex;
    std::condition_variable connection_freed;
    std::vector<idle_connection> idle; ///< Ordered by last use, the most recent at the back.
    std::uint32_t in_use = 0;
};

} // namespace rattanmount::inner
