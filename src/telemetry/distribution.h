#pragma once

#include "core/time.h"
#include "telemetry/quantile_estimate.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>

namespace rattanmount::telemetry {

/// What a distribution knows of the times recorded in it.
struct distribution_summary {
    using seconds = std::chrono::duration<double>;

    std::uint64_t count = 0; ///< Of all times.
    seconds sum{0};          ///< Of all times.
    seconds mean{0};         ///< Of all times.
    seconds max{0};          ///< Of the recent times, as all that follow.
    seconds median{0};
    seconds p90{0};
    seconds p99{0};
};

/// A distribution of times, kept in constant memory.
///
/// Quantiles and the greatest time are those of the last 5 to 10 minutes, so that they show how things are
/// and not how they were since the start. Owned by `counters`, which gives references that hold as long as
/// it lives; any thread may call it and waits at most for a lock that is held for less than a microsecond.
class distribution {
public:
    /// What falls out of the recent times is older than this.
    static constexpr core::milliseconds turn_interval = std::chrono::minutes{5};

    /// @param now the steady clock.
    explicit distribution(std::function<core::steady_time()> now);

    /// @param time how long something took, 0 or more.
    void record(std::chrono::nanoseconds time);

    /// @return what is known of the times recorded.
    [[nodiscard]] distribution_summary summary() const;

private:
    void turn(core::steady_time now) const;

    std::function<core::steady_time()> now;
    mutable std::mutex mutex;
    std::uint64_t count = 0;
    distribution_summary::seconds sum{0};
    mutable quantile_estimate older; ///< Has all times since the turn before the last.
    mutable quantile_estimate newer; ///< Has all times since the last turn.
    mutable core::steady_time last_turn;
};

} // namespace rattanmount::telemetry
