#pragma once

/// @file
/// The package `control`: the control thread of an entry host and all decisions that it makes.
///
/// Depends on: core, ledger, cell, external, scheduling, routing, telemetry.
/// Threads: only control_thread's request() and reply() may be called by other threads; everything else
/// belongs to the control thread. Orders are issued through host_hooks, and the traffic threads that execute
/// them post the replies.

#include "control/attempt_starter.h"
#include "control/attempt_state.h"
#include "control/config_replica.h"
#include "control/control_thread.h"
#include "control/fleet_map.h"
#include "control/host_control.h"
#include "control/host_hooks.h"
#include "control/inventory_reader.h"
#include "control/job_answers.h"
#include "control/job_mover.h"
#include "control/job_runner.h"
#include "control/job_state.h"
#include "control/note_applier.h"
#include "control/policy_check.h"
#include "control/quick_slots.h"
#include "control/resource_overview.h"
#include "control/runner_parts.h"
#include "control/shard_controller.h"
#include "control/shard_ownership.h"
#include "control/shard_table.h"
#include "control/shard_work.h"
#include "control/slot_broker.h"
#include "control/stream_driver.h"
#include "control/worker_leases.h"
