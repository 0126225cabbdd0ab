#pragma once

#include "core/outcome.h"
#include "telemetry/counters.h"

namespace rattanmount::app {

/// What quick_calls counts; handles that are got once.
///
/// Owned by quick_calls; any thread may use them.
class quick_counters {
public:
    /// @param counters the process's counters; must outlive it.
    explicit quick_counters(telemetry::counters& counters);

    /// Counts an answer to a caller.
    /// @param result how the request ended.
    void count(core::outcome result);

    telemetry::counter& completed;
    telemetry::counter& failed;
    telemetry::counter& not_run;
    telemetry::counter& unknown;
    telemetry::counter& shed;        ///< Requests that got no slot in time or found a full queue.
    telemetry::counter& retries;     ///< Attempts after the first of a request.
    telemetry::counter& over_budget; ///< Retries that the budget did not allow.
    telemetry::distribution& waits;  ///< From the request to its slot.
    telemetry::distribution& added;  ///< All time of a completed request but that of its executors' calls.
};

} // namespace rattanmount::app
