#pragma once

#include "telemetry/event.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanmount::telemetry {

/// @return one JSON object per event, each on a line of its own.
[[nodiscard]] std::string to_json_lines(const std::vector<event>& events);

/// Parses a result of to_json_lines(); blank lines are skipped.
/// @throws core::invalid_argument with the number of the first line that is not an event.
[[nodiscard]] std::vector<event> parse_json_lines(std::string_view text);

/// @return one human-readable line per event.
[[nodiscard]] std::string format_text(const std::vector<event>& events);

} // namespace rattanmount::telemetry
