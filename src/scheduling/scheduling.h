#pragma once

/// @file The package `scheduling` decides which waiting task starts on which worker and explains the
/// decision. It covers queueing, fair share, placement, gangs, the capacity reserve for urgent work,
/// preemption, quarantine of faulty workers, and estimates of run time and resource use.
///
/// Depends on: core, release.
/// Threads: the control thread owns every object. The code does no I/O and reads no clock; callers pass the
/// time in.

#include "scheduling/estimate_cache.h"
#include "scheduling/placement.h"
#include "scheduling/preemption.h"
#include "scheduling/quarantine.h"
#include "scheduling/scheduler.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/worker_info.h"
