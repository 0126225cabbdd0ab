#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace rattanmount::tests {

/// The sending host's share in the calls to workers: a processor that sends calls and reads answers one after
/// the other, in the order in which they become due.
///
/// A call whose deadline passes while it waits costs as much as one that is sent. Single-threaded.
class call_line {
public:
    /// @param calls_per_second calls that the host can make in a second, each with its answer; 0: any number.
    explicit call_line(std::uint32_t calls_per_second) : calls_per_second(calls_per_second) {}

    /// @param now when the call is handed over or its answer arrives.
    /// @param deadline of the call.
    /// @return when the call has been sent or the answer read; nothing if that is after the deadline.
    std::optional<core::steady_time> pass(core::steady_time now, core::steady_time deadline);

    /// @return whether the number of calls is bounded.
    [[nodiscard]] bool bounded() const { return this->calls_per_second > 0; }

private:
    std::uint32_t calls_per_second;
    core::steady_time busy_until;
};

} // namespace rattanmount::tests
