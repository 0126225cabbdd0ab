#pragma once

/// @file
/// The package `overload`: decisions for times in which there is not enough room for all work.
///
/// `delay_cost` states what the caller of a job loses if the job starts now, later or never; the order in
/// which steps start, preemption and admission compare work by it. `load_report` is what the leader publishes
/// about the room that it expects, and `admission_policy` decides by it whether an entry host accepts a job.
///
/// Depends on: core.
/// Threads: value types and functions on them; any thread. No I/O, no clock.

#include "overload/admission_policy.h"
#include "overload/delay_cost.h"
#include "overload/load_report.h"
