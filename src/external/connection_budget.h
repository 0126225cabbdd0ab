#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace rattanmount::external {

/// Counts the connections from this process to one peer against a fixed maximum.
///
/// A connection that was closed on this side keeps counting until a time that the caller passes to linger(),
/// because the peer may not have noticed the close yet. Reads no clock: callers pass the time in. Not
/// thread-safe.
class connection_budget {
public:
    /// @param maximum the limit on open and lingering connections together.
    explicit connection_budget(std::size_t maximum);

    /// Counts one more open connection if the maximum allows.
    /// @param now the current time.
    /// @return false if the maximum is reached.
    [[nodiscard]] bool take(core::steady_time now);

    /// Stops counting a connection immediately: it was never established, or the peer closed it.
    void give_back();

    /// Moves a connection from open to lingering.
    /// @param until when it stops counting.
    void linger(core::steady_time until);

    /// @param now the current time.
    /// @return the number of open and lingering connections.
    [[nodiscard]] std::size_t used(core::steady_time now);

    /// @return when the next lingering connection stops counting; empty if there is none.
    [[nodiscard]] std::optional<core::steady_time> next_release() const;

private:
    std::size_t maximum;
    std::size_t open = 0;
    std::deque<core::steady_time> lingering; ///< When each one stops counting, in ascending order.
};

} // namespace rattanmount::external
