#pragma once

#include "core/time.h"

#include <cstdint>

namespace rattanmount::routing {

enum class circuit_state : std::uint8_t {
    closed,   ///< Requests are allowed.
    open,     ///< No requests are allowed until open_time has passed.
    half_open ///< One request at a time is allowed, as a probe.
};

struct circuit_breaker_options {
    std::uint32_t failure_threshold = 5; ///< Consecutive failures after which it opens.
    core::milliseconds open_time{2000};  ///< Time from opening until the first probe is allowed.
};

/// Circuit breaker: stops sending requests to an executor that fails them or does not answer.
///
/// Call allows() before each request, on_sent() when it is sent, and exactly one of on_success(),
/// on_failure() and on_inconclusive() when it ends. Owned by the slot_table of the executor's shard and used
/// on the control thread only.
class circuit_breaker {
public:
    explicit circuit_breaker(circuit_breaker_options options);

    /// @return whether a request may be sent now.
    [[nodiscard]] bool allows(core::steady_time now) const;

    [[nodiscard]] circuit_state state(core::steady_time now) const;

    /// Called when a request is sent; allows() must hold.
    void on_sent(core::steady_time now);

    /// Called when a complete answer arrived. Closes the circuit.
    void on_success();

    /// Called when a request was refused, its connection broke, or no answer arrived.
    void on_failure(core::steady_time now);

    /// Called when the end of a request says nothing about the executor's health. Allows the next probe.
    void on_inconclusive() { this->probing = false; }

private:
    circuit_breaker_options options;
    std::uint32_t consecutive_failures = 0;
    bool tripped = false;
    bool probing = false;
    core::steady_time open_until{};
};

} // namespace rattanmount::routing
