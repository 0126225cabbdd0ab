#pragma once

#include "core/time.h"

#include <optional>

namespace rattanmount::dispatch {

/// The shortest round trip of the last seconds, as an estimate of what a call takes that does not queue.
///
/// A value type.
class shortest_round_trip {
public:
    /// @param taken the time between a call and its answer.
    /// @param now when the answer arrived.
    void add(core::steady_time::duration taken, core::steady_time now);

    /// @return the shortest round trip; 0 if there has been none.
    [[nodiscard]] core::steady_time::duration value() const;

private:
    std::optional<core::steady_time::duration> current; ///< In the present period.
    std::optional<core::steady_time::duration> former;  ///< In the one before.
    core::steady_time period_began_at;
};

} // namespace rattanmount::dispatch
