#pragma once

#include <chrono>
#include <functional>

namespace rattanmount::core {

/// A point on the monotonic clock; for leases, timeouts and deadlines within one process.
using steady_time = std::chrono::steady_clock::time_point;
/// A point on the wall clock; for records that other processes read.
using system_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// The sources of the current time; tests replace them with clocks that they advance by hand.
///
/// Any thread may call the hooks.
struct clock_hooks {
    std::function<steady_time()> steady = [] { return std::chrono::steady_clock::now(); };
    std::function<system_time()> system = [] { return std::chrono::system_clock::now(); };
};

/// @return the milliseconds from the Unix epoch to a wall-clock time.
[[nodiscard]] inline milliseconds since_epoch(system_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

/// @param elapsed milliseconds since the Unix epoch.
[[nodiscard]] inline system_time from_epoch(milliseconds elapsed) {
    return system_time{elapsed};
}

} // namespace rattanmount::core
