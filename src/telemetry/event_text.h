#pragma once

#include "telemetry/event.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanmount::telemetry {

/// @param events events.
/// @return one JSON object a line.
[[nodiscard]] std::string to_json_lines(const std::vector<event>& events);

/// Reads what to_json_lines() wrote; empty lines are passed over.
/// @param text JSON lines.
/// @return the events.
/// @throws core::invalid_argument with the number of the first line that is no event.
[[nodiscard]] std::vector<event> parse_json_lines(std::string_view text);

/// @param events events.
/// @return a line for each, for people to read.
[[nodiscard]] std::string format_text(const std::vector<event>& events);

} // namespace rattanmount::telemetry
