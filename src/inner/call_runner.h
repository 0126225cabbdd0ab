#pragma once

#include "core/time.h"
#include "inner/connection_pool.h"
#include "inner/peer_connection.h"

#include <cstdint>
#include <memory>

namespace rattanmount::inner {

/// Whether a call may be sent again when no answer to it arrives.
enum class retry_policy : std::uint8_t {
    retry_once, ///< The call is idempotent: it is sent a second time if a reused connection breaks.
    /// As retry_once, and the call is short: it is also sent a second time if a reused connection has given
    /// no answer after half of the limit. The connection may have become silent without being closed.
    retry_if_silent,
    no_retry ///< A second execution would take effect again.
};

/// Runs calls to one peer within their time limits and reports whether a failed call may have been executed.
///
/// Shared by the hooks of an inner_client. Any thread may call; a call blocks for at most its limit.
class call_runner {
public:
    explicit call_runner(const connection_pool_options& options);

    /// Runs a call and retries it if the policy allows.
    /// @param call sends the request and receives the answer.
    /// @param policy whether the request may be sent twice.
    /// @param limit covers waiting for a connection, connecting, sending and receiving.
    /// @throws core::unavailable if the call was certainly not executed.
    /// @throws core::outcome_unknown if the call may have been executed.
    /// @throws core::invalid_argument if the peer rejects the request as invalid.
    void run(const rpc_call& call, retry_policy policy, core::milliseconds limit);

private:
    /// Makes one attempt and returns its connection to the pool or closes it.
    /// @param deadline when the attempt times out.
    /// @param reused_deadline when it times out on a connection that has carried a call before.
    /// @param reused set to whether the connection had carried a call before.
    attempt_result attempt(const rpc_call& call, core::steady_time deadline,
                           core::steady_time reused_deadline, bool& reused);

    /// Makes the second attempt of a call.
    /// @param sent_before whether the first one may have been executed: if the peer refuses the second, that
    /// does not mean that the call was not executed.
    attempt_result attempt_again(const rpc_call& call, core::steady_time deadline, bool sent_before);

    connection_pool pool;
    core::endpoint peer;
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
