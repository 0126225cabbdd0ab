#pragma once

#include "core/time.h"
#include "inner/connection_pool.h"
#include "inner/peer_connection.h"

#include <cstdint>
#include <memory>

namespace rattanmount::inner {

/// Whether a call may be sent again when the connection broke before its answer.
enum class repeat_rule : std::uint8_t {
    once, ///< A repeat changes nothing: send again, once, where a reused connection broke.
    never ///< A repeat would take effect a second time.
};

/// Runs calls to one peer within their time limits and tells exactly what is known of their fate.
///
/// Shared by the hooks of an inner_client; any thread may call and blocks up to the limit.
class call_runner {
public:
    explicit call_runner(const connection_pool_options& options);

    /// @param call what to send and how to receive.
    /// @param rule whether it may be sent twice.
    /// @param limit for everything: waiting for a connection, connecting, sending and receiving.
    /// @throws core::unavailable where it was certainly not carried out.
    /// @throws core::fate_unknown where it may have been carried out.
    /// @throws core::invalid_argument where the peer says that the request is not valid.
    void run(const call_halves& call, repeat_rule rule, core::milliseconds limit);

private:
    /// @return how one attempt went; its connection is back in the pool or closed.
    attempt_result attempt(const call_halves& call, core::steady_time deadline, bool& reused);

    connection_pool pool;
    core::endpoint peer;
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
