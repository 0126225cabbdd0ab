#pragma once

#include "telemetry/event.h"

#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// Writes events in the JSON form that the common viewers of traces open.
///
/// Each attempt that runs is a bar on a track of its worker, from task_started to task_ended; a worker has
/// as many tracks as attempts ran on it at once. Every other event is a mark on the track of its host.
/// @param events events in the order of their times, as merge() gives them.
/// @return one JSON object.
[[nodiscard]] std::string format_trace_events(const std::vector<event>& events);

} // namespace rattanmount::telemetry
