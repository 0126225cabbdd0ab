#pragma once

/// @file
/// The package `control`: the one control thread of an entry host and all decisions that it takes.
///
/// Depends on: core, ledger, release, cell, scheduling, routing, and the types of platform.
/// Threads: everything but control_thread's request() and reply() belongs to the control thread. Orders
/// leave through host_hooks; the traffic threads that carry them out post the replies.

#include "control/control_thread.h"
#include "control/fleet_map.h"
#include "control/host_control.h"
#include "control/host_hooks.h"
#include "control/job_runner.h"
#include "control/live_job.h"
#include "control/shard_keeper.h"
#include "control/slot_broker.h"
