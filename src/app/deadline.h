#pragma once

#include "core/time.h"

namespace rattanmount::app {

/// @param deadline when a call must have ended.
/// @return the time left for it in whole milliseconds; 0 or less once it has passed.
[[nodiscard]] inline core::milliseconds left_until(core::steady_time deadline) {
    return std::chrono::duration_cast<core::milliseconds>(deadline - std::chrono::steady_clock::now());
}

} // namespace rattanmount::app
