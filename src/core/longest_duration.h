#pragma once

#include "core/time.h"

namespace rattanmount::core {

/// Longest duration that is accepted from other programs, and the latest time, counted from the Unix epoch. A
/// clock's time plus such a duration stays within the range of the clock, which counts nanoseconds.
inline constexpr milliseconds longest_duration =
    std::chrono::duration_cast<milliseconds>(std::chrono::years{100});

} // namespace rattanmount::core
