#pragma once

/// @file
/// The package `telemetry`: metrics and their Prometheus text format, the timeline of events across processes
/// with the hybrid clock that orders it, and the log of state changes.
///
/// Depends on: core, Boost.Accumulators, spdlog, nlohmann-json.
/// Threads: thread-safe; callers wait at most for a lock that is held briefly.

#include "telemetry/counter.h"
#include "telemetry/distribution.h"
#include "telemetry/event.h"
#include "telemetry/event_list.h"
#include "telemetry/event_text.h"
#include "telemetry/gauge.h"
#include "telemetry/hybrid_clock.h"
#include "telemetry/logging.h"
#include "telemetry/logging_options.h"
#include "telemetry/metrics_registry.h"
#include "telemetry/quantile_estimate.h"
#include "telemetry/timeline.h"
#include "telemetry/trace_events.h"
