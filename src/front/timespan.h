#pragma once

#include "core/time.h"

#include <Poco/Timespan.h>

namespace rattanmount::front {

/// @param duration a time span.
/// @return the same in Poco's type.
[[nodiscard]] inline Poco::Timespan to_timespan(core::milliseconds duration) {
    return Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(duration).count()};
}

} // namespace rattanmount::front
