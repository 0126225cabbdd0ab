#pragma once

#include "external/executor_service.h"
#include "external/http_caller.h"

#include <cstddef>

namespace rattanmount::external {

struct http_executor_client_options {
    /// This host's share of each executor's connections. All entry hosts together must not exceed what an
    /// executor accepts, so it is the executor's limit divided by the maximum number of entry hosts.
    std::size_t max_connections_per_executor = 8;
    /// Limited to half of the connections, so that new ones can be opened when all idle connections are dead
    /// but the executor still counts them.
    std::size_t max_idle_per_executor = 4;
    core::milliseconds idle_limit{4'000}; ///< Must be less than the keep-alive time of the executors.
    core::milliseconds linger{3'000};     ///< How long a connection counts after a timeout or a failure.
    core::milliseconds close_time{100};   ///< How long a connection counts after an orderly close.
    core::milliseconds max_wait{50};      ///< How long a call waits for a free connection.
};

/// Calls executors over HTTP.
///
/// Pass its hook to the code that sends quick requests; the hook refers to the client, which must outlive it.
/// A request is sent at most once. Owned by the app; any traffic thread may call the hook, which blocks up to
/// the request's limit.
class http_executor_client {
public:
    /// @param options the connection limits.
    explicit http_executor_client(http_executor_client_options options);

    /// @return the call that an executor serves.
    [[nodiscard]] executor_service hooks();

    /// @return the traffic so far.
    [[nodiscard]] const traffic_counters& counters() const { return this->caller.counters(); }

    /// @param executor the address of the executor.
    /// @return the number of connections that count against this host's share.
    [[nodiscard]] std::size_t connections_to(const core::endpoint& executor);

private:
    [[nodiscard]] executor_reply call(const executor_request& request);

    http_caller caller;
};

} // namespace rattanmount::external
