#pragma once

/// @file
/// The package `workflow`: jobs that consist of steps, the policies of their queues, the records of the
/// cell's log, and `cell_state`, the state that every host builds from these records.
///
/// Depends on: core, tenancy.
/// Threads: value types, and a state object that the control thread owns; no I/O, no clock.

#include "workflow/cell_state.h"
#include "workflow/job_request.h"
#include "workflow/queue_policy.h"
#include "workflow/records.h"
#include "workflow/task_name.h"
