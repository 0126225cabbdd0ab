#pragma once

#include "telemetry/event.h"

#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// Merges the events of several processes, sorted by time, then by host and incarnation.
/// @param lists events of one process each; an event that occurs in several lists is kept once.
[[nodiscard]] std::vector<event> merge(std::vector<std::vector<event>> lists);

/// Selects events; an empty field matches all.
struct event_filter {
    std::string job; ///< A job, which includes all its attempts, or one attempt.
    core::worker_id worker;
    core::host_id host;
};

/// @return the events that match all fields of the filter, in the same order.
[[nodiscard]] std::vector<event> filter_events(const std::vector<event>& events, const event_filter& filter);

} // namespace rattanmount::telemetry
