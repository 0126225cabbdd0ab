#pragma once

#include "core/time.h"
#include "telemetry/quantile_estimate.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>

namespace rattanmount::telemetry {

/// A summary of the durations recorded in a distribution.
struct distribution_summary {
    using seconds = std::chrono::duration<double>;

    std::uint64_t count = 0; ///< Of all durations.
    seconds sum{0};          ///< Of all durations.
    seconds mean{0};         ///< Of all durations.
    seconds max{0};          ///< Of the recent durations, as are all fields below.
    seconds median{0};
    seconds p90{0};
    seconds p99{0};
};

/// A distribution of durations, kept in constant memory.
///
/// The quantiles and the maximum cover the last 5 to 10 minutes, so that they show the present state and not
/// an average since the start. Owned by metrics_registry, which returns references that stay valid for its
/// lifetime. Thread-safe; callers wait at most for a lock that is held for less than a microsecond.
class distribution {
public:
    /// The recent durations cover at least this time and at most twice as much.
    static constexpr core::milliseconds rotation_interval = std::chrono::minutes{5};

    /// @param now returns the time of the steady clock.
    explicit distribution(std::function<core::steady_time()> now);

    /// @param duration how long something took, 0 or more.
    void record(std::chrono::nanoseconds duration);

    [[nodiscard]] distribution_summary summary() const;

private:
    /// Drops the older durations when the rotation interval has passed.
    void rotate(core::steady_time now) const;

    std::function<core::steady_time()> now;
    mutable std::mutex mutex;
    std::uint64_t count = 0;
    distribution_summary::seconds sum{0};
    mutable quantile_estimate older; ///< Has all durations since the last rotation but one.
    mutable quantile_estimate newer; ///< Has all durations since the last rotation.
    mutable core::steady_time last_rotation;
};

} // namespace rattanmount::telemetry
