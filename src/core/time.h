#pragma once

#include <chrono>
#include <functional>

namespace rattanmount::core {

/// A point on the clock that no operator can set; for leases, timeouts and deadlines in one process.
using steady_time = std::chrono::steady_clock::time_point;
/// A point on the clock of the calendar; for records that other processes read.
using system_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Where the program takes the time from; tests set hooks that they move by hand.
///
/// Any thread may call the hooks.
struct clock_hooks {
    std::function<steady_time()> steady = [] { return std::chrono::steady_clock::now(); };
    std::function<system_time()> system = [] { return std::chrono::system_clock::now(); };
};

/// @param time a point of the calendar.
/// @return milliseconds since 1970.
[[nodiscard]] inline milliseconds since_epoch(system_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

/// @param elapsed milliseconds since 1970.
/// @return the point of the calendar.
[[nodiscard]] inline system_time from_epoch(milliseconds elapsed) {
    return system_time{elapsed};
}

} // namespace rattanmount::core
