#pragma once

/// @file
/// The package `control`: the control thread of an entry host and all decisions that it makes.
///
/// Depends on: core, ledger, cell, external, scheduling, routing, telemetry.
/// Threads: only control_thread's request() and reply() may be called by other threads; everything else
/// belongs to the control thread. Orders are issued through host_hooks, and the traffic threads that execute
/// them post the replies.

#include "control/control_thread.h"
#include "control/fleet_map.h"
#include "control/host_control.h"
#include "control/host_hooks.h"
#include "control/job_runner.h"
#include "control/job_state.h"
#include "control/shard_controller.h"
#include "control/slot_broker.h"
