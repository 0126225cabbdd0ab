#pragma once

#include "core/time.h"

#include <cstddef>

namespace rattanmount::dispatch {

/// Spreads the holds to workers that have not answered the last one, as at a takeover, over time.
///
/// It limits their rate and not their number, so that unreachable workers do not delay the others for the
/// length of a timeout. Part of the lease manager; used by the control thread only.
class hold_pace {
public:
    /// Adds what the time since the last call allows.
    /// @param per_round the number of holds that may be sent within a round trip.
    /// @param round_trip the usual round trip.
    /// @param now the current time.
    void advance(std::size_t per_round, core::milliseconds round_trip, core::steady_time now);

    /// @return whether a hold may be sent now; it then counts as sent.
    bool take();

    /// @param now the current time.
    /// @return when a hold may be sent.
    [[nodiscard]] core::steady_time available_at(core::steady_time now) const;

private:
    double allowed = 0;
    core::steady_time advanced_at;
};

} // namespace rattanmount::dispatch
