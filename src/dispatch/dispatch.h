#pragma once

/// @file
/// The package `dispatch`: on the leader of the cell, assigns tasks to workers, renews the leases of the
/// workers and advances jobs through their steps.
///
/// `dispatcher` is the entry point. It shares `dispatch_state` with `run_manager` (runs and the resources
/// that they reserve), `task_lifecycle` (state transitions when a run ends), `lease_manager` (leases and the
/// runs that workers report), `leader_authority` (until when this host may act as the leader, and when the
/// leases of a former leader have expired), `step_order` (which waiting step is started first), `task_placer`
/// (choice of a worker), `gang_placer` (start of gangs, and places that are kept for them), `advice_manager`
/// (workers that a step is permitted to run on), `run_mover` (moves long-running tasks off draining workers)
/// and `worker_roster` (workers on which tasks may have been started, recorded for the next leader).
///
/// If the configuration has teams: `team_accounts` (what each has running, against its cap), `inherited_runs`
/// (what a former leader may have started for it), `team_shares` and `team_rates` (the standing of its
/// steps), `team_reports` (log lines) and `cap_check` (jobs that can never run).
///
/// Depends on: core, overload, tenancy, workflow, telemetry (for logging).
/// Threads: the control thread only. The current time is passed to each call. Orders are sent through
/// non-blocking hooks; the replies arrive as calls.

#include "dispatch/dispatcher.h"
#include "dispatch/orders.h"
