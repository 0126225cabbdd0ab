#pragma once

#include "core/outcome.h"
#include "telemetry/metrics_registry.h"

namespace rattanmount::app {

/// The metrics of quick requests, looked up once in the registry.
///
/// Owned by quick_request_handler; any thread may use them.
class quick_metrics {
public:
    /// @param registry the metrics of the process; must outlive this object.
    explicit quick_metrics(telemetry::metrics_registry& registry);

    /// Counts an answer to a caller.
    /// @param result the outcome of the request.
    void count_answer(core::outcome result);

    telemetry::counter& completed;
    telemetry::counter& failed;
    telemetry::counter& not_run;
    telemetry::counter& unknown;
    telemetry::counter& shed;           ///< Requests that got no slot in time or met a full queue.
    telemetry::counter& retries;        ///< Attempts after the first one of a request.
    telemetry::counter& retries_denied; ///< Retries that the retry budget did not allow.
    telemetry::distribution& slot_wait; ///< Time from the start of an attempt until it has a slot.
    telemetry::distribution& overhead;  ///< Duration of a completed request without its calls of executors.
};

} // namespace rattanmount::app
