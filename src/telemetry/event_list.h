#pragma once

#include "telemetry/event.h"

#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// Brings the events of several processes into one order: by time, then by host and incarnation.
/// @param lists events of one process each; an event that is in two of them is kept once.
/// @return all events.
[[nodiscard]] std::vector<event> merge(std::vector<std::vector<event>> lists);

/// Which events to keep; what is empty keeps all.
struct event_filter {
    std::string job; ///< A job with all its attempts, or one attempt.
    core::worker_id worker;
    core::host_id host;
};

/// @param events events.
/// @param filter what to keep.
/// @return the events that pass all parts of the filter, in the same order.
[[nodiscard]] std::vector<event> filter_events(const std::vector<event>& events, const event_filter& filter);

} // namespace rattanmount::telemetry
