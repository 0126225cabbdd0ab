#pragma once

/// @file
/// The package `routing`: how quick requests reach an executor: slots, queueing, peer selection, circuit
/// breakers and retries.
///
/// Depends on: core. Pure decision logic without clocks, threads or encodings.
/// Threads: the control thread owns all objects except retry_budget, which app::quick_request_handler guards
/// with a mutex.

#include "routing/admission_queue.h"
#include "routing/circuit_breaker.h"
#include "routing/peer_selector.h"
#include "routing/retry_budget.h"
#include "routing/slot_table.h"
