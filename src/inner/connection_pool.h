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
    core::milliseconds idle_limit{15000}; ///< A connection that was idle for longer is not used again.
    std::shared_ptr<apache::thrift::TConfiguration> limits;
    std::shared_ptr<traffic_counters> counters;
};

/// A bounded number of connections to one peer.
///
/// Take one for a call and give it back. Owned by a call_runner; any thread may call.
class connection_pool {
public:
    explicit connection_pool(connection_pool_options options);

    /// Takes an idle connection, or a new one that is not yet connected; waits while all are in use.
    /// @param deadline until when to wait.
    /// @return a connection that is the caller's alone.
    /// @throws core::unavailable where all connections stay in use.
    [[nodiscard]] std::unique_ptr<peer_connection> take(core::steady_time deadline);

    /// @param connection one from take() whose last call was answered, to be used again.
    void give_back(std::unique_ptr<peer_connection> connection);

    /// @param connection one from take() that is not to be used again.
    void discard(std::unique_ptr<peer_connection> connection);

    /// Closes all idle connections: after one went silent the others are not to be trusted either.
    void close_idle();

private:
    struct idle_connection {
        std::unique_ptr<peer_connection> connection;
        core::steady_time since;
    };

    /// @return an idle connection that is still usable, or none.
    [[nodiscard]] std::unique_ptr<peer_connection> take_idle();

    connection_pool_options options;
    std::mutex mutex;
    std::condition_variable freed;
    std::vector<idle_connection> idle; ///< The last used one is last.
    std::uint32_t in_use = 0;
};

} // namespace rattanmount::inner
