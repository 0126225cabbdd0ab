#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "external/connection_pool.h"
#include "external/http_message.h"
#include "external/traffic_counters.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace rattanmount::external {

struct repeatable_call_limits {
    core::milliseconds timeout; ///< Of the whole call.
    /// After which a connection of an earlier call counts as silent if no byte of the answer has arrived.
    core::milliseconds silence;
};

/// Makes blocking HTTP calls over pooled connections and reports the outcome of each.
///
/// Used by all clients of the platform. Owned by one client. Any traffic thread may call and is blocked up to
/// the timeout, which covers waiting for a connection, connecting, sending and receiving.
class http_caller {
public:
    /// @param options the options of the connection pool.
    /// @param correlated whether the servers repeat the correlation id, which is then checked to match
    /// answers to calls.
    explicit http_caller(connection_pool_options options, bool correlated = true);

    /// Sends a request and waits for its answer.
    /// @param peer the server; endpoints that differ only in their path do not share connections.
    /// @param message the request; if the caller is correlated, an empty correlation is replaced by a number.
    /// @param timeout covers the whole call.
    /// @return the answer, or the reason why there is none. Network failures are returned, not thrown.
    [[nodiscard]] http_answer call(const core::endpoint& peer, http_message message,
                                   core::milliseconds timeout);

    /// Sends a request that may be repeated and waits for its answer. If it is sent over the connection of an
    /// earlier call and that is silent, it is sent once more over another one.
    /// @param message the request.
    /// @param repeat the request that is sent if the first one is not answered; it may ask for less.
    /// @param limits the limits of the whole call and of its first part.
    /// @return as call().
    [[nodiscard]] http_answer call_repeatable(const core::endpoint& peer, http_message message,
                                              http_message repeat, repeatable_call_limits limits);

    /// @return the traffic so far; may be read at any time.
    [[nodiscard]] const traffic_counters& counters() const { return this->traffic; }

    /// @return the connection pool, for gauges.
    [[nodiscard]] connection_pool& connections() { return this->pool; }

private:
    /// @param silence_deadline as that of http_connection::exchange().
    [[nodiscard]] http_answer exchange(const core::endpoint& peer, http_message message,
                                       core::steady_time deadline, core::steady_time silence_deadline);

    bool correlated;
    traffic_counters traffic;
    std::atomic<std::uint64_t> last_number{0};
    connection_pool pool;
};

/// Percent-encodes all characters that are reserved in a path, a query or a header.
[[nodiscard]] std::string percent_encode(const std::string& text);

} // namespace rattanmount::external
