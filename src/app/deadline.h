#pragma once

#include "core/time.h"

namespace rattanmount::app {

/// @param deadline the time at which a call must have ended.
/// @return the remaining time in whole milliseconds; 0 or less once the deadline has passed.
[[nodiscard]] inline core::milliseconds remaining_until(core::steady_time deadline) {
    return std::chrono::duration_cast<core::milliseconds>(deadline - std::chrono::steady_clock::now());
}

} // namespace rattanmount::app
