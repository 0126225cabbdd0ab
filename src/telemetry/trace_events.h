#pragma once

#include "telemetry/event.h"

#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// Formats events as a trace in the trace event format of Chrome, which common trace viewers open.
///
/// Each attempt is a complete event on a track of its worker, from task_started to task_ended; a worker has
/// as many tracks as attempts ran on it at the same time. Every other event is an instant event on the track
/// of its host.
/// @param events events sorted by time, as merge() returns them.
/// @return one JSON object.
[[nodiscard]] std::string format_trace_events(const std::vector<event>& events);

} // namespace rattanmount::telemetry
