#pragma once

#include "core/time.h"

#include <Poco/Timespan.h>

namespace rattanmount::front {

/// Converts a duration to Poco's type.
[[nodiscard]] inline Poco::Timespan to_timespan(core::milliseconds duration) {
    return Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(duration).count()};
}

} // namespace rattanmount::front
