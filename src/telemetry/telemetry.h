#pragma once

/// @file
/// The package `telemetry`: counters and their text form, the time line of events over all processes with
/// the clock that orders it, and the log of changes of state.
///
/// Depends on: core, Boost.Accumulators, spdlog, nlohmann-json.
/// Threads: any thread may call everything here; nothing waits longer than for a short lock.

#include "telemetry/counter.h"
#include "telemetry/counters.h"
#include "telemetry/distribution.h"
#include "telemetry/event.h"
#include "telemetry/event_list.h"
#include "telemetry/event_text.h"
#include "telemetry/gauge.h"
#include "telemetry/hybrid_clock.h"
#include "telemetry/logging.h"
#include "telemetry/logging_options.h"
#include "telemetry/quantile_estimate.h"
#include "telemetry/timeline.h"
#include "telemetry/trace_events.h"
