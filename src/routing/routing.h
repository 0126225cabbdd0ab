#pragma once

/// @file
/// The package `routing`: quick requests' way to an executor: slots, waiting, the choice between hosts,
/// circuits and retries.
///
/// Depends on: core. Decides only: knows no clock, thread or encoding.
/// Threads: the control thread owns all objects, but for retry_budget, which app::quick_calls guards.

#include "routing/admission_queue.h"
#include "routing/circuit.h"
#include "routing/peer_rooms.h"
#include "routing/retry_budget.h"
#include "routing/slot_table.h"
