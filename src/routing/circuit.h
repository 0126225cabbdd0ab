#pragma once

#include "core/time.h"

#include <cstdint>

namespace rattanmount::routing {

enum class circuit_state : std::uint8_t {
    closed,   ///< Requests go through.
    open,     ///< None does until a time has passed.
    half_open ///< One at a time does, as a probe.
};

struct circuit_options {
    std::uint32_t failures = 5;         ///< Bad ends in a row after which it opens.
    core::milliseconds open_time{2000}; ///< From its opening to the first probe.
};

/// Keeps requests away from an executor that breaks them or leaves them without an answer.
///
/// Ask allows() before each request, say on_sent() for each that goes out, and how it ended. Owned by the
/// slot_table of the executor's shard; the control thread only.
class circuit {
public:
    explicit circuit(circuit_options options);

    /// @param now the time.
    /// @return whether a request may go out now.
    [[nodiscard]] bool allows(core::steady_time now) const;

    /// @param now the time.
    /// @return its state at that time.
    [[nodiscard]] circuit_state state(core::steady_time now) const;

    /// Takes note of a request that goes out; it must be allowed.
    /// @param now the time.
    void on_sent(core::steady_time now);

    /// Takes note of a whole answer: it closes.
    void on_success();

    /// Takes note of a request that was refused, broken or left without an answer.
    /// @param now the time.
    void on_failure(core::steady_time now);

    /// Takes note of a request whose end says nothing of the executor: a probe may be sent again.
    void on_no_verdict() { this->probing = false; }

private:
    circuit_options options;
    std::uint32_t failures_in_row = 0;
    bool tripped = false;
    bool probing = false;
    core::steady_time open_until{};
};

} // namespace rattanmount::routing
