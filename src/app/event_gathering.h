#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "telemetry/event.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanmount::app {

/// What gathering events needs.
struct event_gathering_options {
    /// Gives the events of one entry host as JSON lines; called by several threads at once.
    std::function<std::string(const core::endpoint&)> read_host;
    /// Told of each host that gave no events; called by the calling thread.
    std::function<void(const std::string& message)> warn;
};

/// Reads the events of all the given entry hosts at once, one thread each, and merges them.
/// @param hosts the hosts.
/// @param options how to read them.
/// @return the events in one order.
/// @throws core::unavailable where no host gave any events.
[[nodiscard]] std::vector<telemetry::event> gather_events(const std::vector<core::endpoint>& hosts,
                                                          const event_gathering_options& options);

} // namespace rattanmount::app
