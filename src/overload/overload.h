#pragma once

/// @file
/// The package `overload`: decisions for times in which there is not enough room for all work.
///
/// `delay_cost` states what the caller of a job loses if the job starts now, later or never; the order in
/// which steps start and preemption compare work by it.
///
/// Depends on: core.
/// Threads: value types and functions on them; any thread. No I/O, no clock.

#include "overload/delay_cost.h"
