#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "telemetry/event.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanmount::app {

struct event_gathering_options {
    /// Returns the events of one entry host as JSON lines; called by several threads at once.
    std::function<std::string(const core::endpoint&)> read_host;
    /// Called for each host whose events could not be read, on the thread that called gather_events().
    std::function<void(const std::string& message)> warn;
};

/// Reads the events of the given entry hosts concurrently, one thread per host, and merges them.
/// @param hosts the hosts.
/// @param options how to read a host and report an error.
/// @return the events of all hosts in one common order.
/// @throws core::unavailable if no host could be read.
[[nodiscard]] std::vector<telemetry::event> gather_events(const std::vector<core::endpoint>& hosts,
                                                          const event_gathering_options& options);

} // namespace rattanmount::app
