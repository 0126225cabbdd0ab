#pragma once

/// @file
/// The package `scheduling`: which waiting task starts on which worker, and why. Queues, fair share,
/// placement, gangs, the reserve for urgent work, preemption, quarantine and estimates.
///
/// Depends on: core, release.
/// Threads: pure decisions with the time passed in; the control thread owns every object.

#include "scheduling/estimate_cache.h"
#include "scheduling/placement.h"
#include "scheduling/preemption.h"
#include "scheduling/quarantine.h"
#include "scheduling/scheduler.h"
#include "scheduling/scheduler_options.h"
#include "scheduling/worker_info.h"
