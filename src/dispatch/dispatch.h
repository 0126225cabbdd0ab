#pragma once

/// @file
/// The package `dispatch`: decides, for the host that leads the cell, which task of which job starts where,
/// keeps the leases of the workers, and carries jobs through their steps.
///
/// `dispatcher` is the way in. It shares `dispatch_state` with `run_book` (runs and the room they hold),
/// `task_flow` (what an end leads to), `hold_keeper` (leases and what workers list), `placer` (choice of a
/// worker), `advice_keeper` (which workers a step may run on) and `roster_keeper` (on which workers tasks may
/// have been started, for a successor).
///
/// Depends on: core, workflow, telemetry (for lines of the log).
/// Threads: the control thread only. Time goes in with each call; orders leave through hooks that return at
/// once, and their replies come back as calls.

#include "dispatch/dispatcher.h"
#include "dispatch/orders.h"
