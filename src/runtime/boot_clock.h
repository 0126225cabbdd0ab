#pragma once

#include "core/time.h"

namespace rattanmount::runtime {

/// Returns the time since boot, including the time in which the machine was suspended. Comparable only with
/// other values of this function.
[[nodiscard]] core::steady_time boot_time();

} // namespace rattanmount::runtime
