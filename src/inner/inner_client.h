#pragma once

#include "cell/peer_calls.h"
#include "core/endpoint.h"
#include "core/time.h"
#include "inner/framing.h"
#include "inner/traffic_counters.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace rattanmount::inner {

class call_runner;

struct inner_client_options {
    core::endpoint peer;
    std::uint32_t max_connections =
        4; ///< For all calls except heartbeats, which have a connection of their own.
    core::milliseconds idle_limit{
        15000}; ///< A connection that was idle for longer is closed instead of reused.
    core::milliseconds default_quick_limit{2000}; ///< Default limit for quick requests that set none.
    std::size_t max_message_bytes = default_max_message_bytes;
    std::shared_ptr<traffic_counters> counters = std::make_shared<traffic_counters>();
};

/// Calls another entry host.
///
/// Create one per peer and use its hooks(). Connects on the first call. Each call returns within its limit,
/// which covers connecting, sending and receiving. Owned by the code that calls the peer. Any thread may call
/// the hooks, and they stay valid after the client is destroyed.
class inner_client {
public:
    explicit inner_client(const inner_client_options& options);

    /// @return the calls to the peer. Each throws as documented in cell::peer_calls, and
    /// core::invalid_argument if the peer rejects the request as invalid; append_log, read_log and newest_log
    /// also throw core::invalid_argument if the answer cannot be decoded.
    [[nodiscard]] cell::peer_calls hooks() const;

private:
    void add_job_hooks(cell::peer_calls& calls) const;
    void add_slot_hooks(cell::peer_calls& calls) const;
    void add_log_hooks(cell::peer_calls& calls) const;
    void add_explanation_hooks(cell::peer_calls& calls) const;

    core::milliseconds default_quick_limit;
    std::shared_ptr<call_runner> heartbeats; ///< Separate, so that long calls do not delay heartbeats.
    std::shared_ptr<call_runner> calls;
};

} // namespace rattanmount::inner
