#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "external/connection_budget.h"
#include "external/http_connection.h"
#include "external/traffic_counters.h"

#include <condition_variable>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace rattanmount::external {

struct connection_pool_options {
    std::size_t max_connections = 8; ///< Per endpoint: in use, idle and lingering together.
    std::size_t max_idle = 4;        ///< Idle connections per endpoint; excess ones are closed.
    /// How long an idle connection is kept. Must be less than the keep-alive time of the server, so that the
    /// server does not close a connection while a request is in flight.
    core::milliseconds idle_limit{4'000};
    /// How long a connection counts after a timeout or failure of its exchange or a timeout of connecting.
    core::milliseconds linger{0};
    /// How long a connection counts after it was closed because it was idle too long or in excess.
    core::milliseconds close_time{0};
    /// Longest wait for a connection while the maximum is reached. Connecting is bounded only by the
    /// deadline.
    core::milliseconds max_wait{1'000};
};

/// A pool of HTTP connections with a limit per endpoint.
///
/// Take a connection with acquire(), use it for one exchange, and return it with release() and the answer.
/// A connection whose exchange did not end with a complete answer is closed. If that connection had been
/// reused, the idle connections last verified before the exchange started are closed as well, because a
/// device on the path may have dropped the state of all of them. A connection is verified when it is
/// established and whenever it receives a complete answer. Owned by one client; any traffic thread may
/// call. A background thread closes idle connections.
class connection_pool {
public:
    /// @param options limits and times.
    /// @param counters receive the traffic counts; must outlive the pool.
    connection_pool(connection_pool_options options, traffic_counters& counters);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Takes an idle connection or opens a new one.
    /// @param peer the endpoint; endpoints that differ only in their path do not share connections.
    /// @param deadline when to stop waiting or connecting.
    /// @return a connection for one exchange.
    /// @throws core::unavailable if the peer refuses, or no connection is free or established in time.
    [[nodiscard]] std::unique_ptr<http_connection> acquire(const core::endpoint& peer,
                                                           core::steady_time deadline);

    /// Returns a connection to the pool.
    /// @param peer the endpoint passed to acquire().
    /// @param connection the connection from acquire().
    /// @param answer the result of its exchange.
    void release(const core::endpoint& peer, std::unique_ptr<http_connection> connection,
                 const http_answer& answer);

    /// @return the number of connections to the peer that count against its limit.
    [[nodiscard]] std::size_t used(const core::endpoint& peer);

    /// @return the number of idle connections to the peer.
    [[nodiscard]] std::size_t idle(const core::endpoint& peer);

private:
    using connections = std::vector<std::unique_ptr<http_connection>>;

    struct peer_state {
        explicit peer_state(std::size_t maximum) : budget(maximum) {}
        connection_budget budget;
        connections idle; ///< Ordered by last use, the most recent at the back.
    };

    [[nodiscard]] peer_state& state_of(const core::endpoint& peer);
    [[nodiscard]] std::unique_ptr<http_connection> take_idle(peer_state& state, core::steady_time now);
    void wait_for_connection(std::unique_lock<std::mutex>& lock, const core::endpoint& peer,
                             core::steady_time give_up);
    [[nodiscard]] std::unique_ptr<http_connection> open(const core::endpoint& peer,
                                                        core::steady_time deadline);
    void give_back(const core::endpoint& peer, core::milliseconds linger);
    [[nodiscard]] bool expired(const http_connection& connection, core::steady_time now) const;
    void retire(peer_state& state, core::milliseconds linger, core::steady_time now);
    void close_unverified(peer_state& state, core::steady_time since, connections& closed);
    void close_expired(core::steady_time now, connections& closed);
    void sweep(const std::stop_token& stop);

    connection_pool_options options;
    traffic_counters& counters;
    std::mutex mutex;
    std::condition_variable changed; ///< Notified when a connection may have become free.
    std::condition_variable_any sweeper_wakeup;
    std::size_t waiting = 0; ///< Number of calls that wait for a connection.
    std::map<core::endpoint, peer_state> peers;
    std::jthread sweeper;
};

} // namespace rattanmount::external
