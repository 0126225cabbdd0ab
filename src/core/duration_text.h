#pragma once

#include "core/time.h"

#include <string>
#include <string_view>

namespace rattanmount::core {

/// Parses a duration written as a whole number and a unit: "250ms", "90s", "15m", "2h" or "7d".
/// @param text the duration; "0" needs no unit.
/// @return the duration in milliseconds, 0 or more.
/// @throws core::invalid_argument if the text has another form, is negative, or exceeds 10,000 days.
[[nodiscard]] milliseconds parse_duration(std::string_view text);

/// Formats a duration in the largest unit that divides it exactly; parse_duration() restores the value.
/// @param duration a duration of 0 or more.
/// @return for example "250ms", "90s" or "2h".
[[nodiscard]] std::string format_duration(milliseconds duration);

} // namespace rattanmount::core
