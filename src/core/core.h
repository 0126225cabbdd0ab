#pragma once

/// @file
/// The package `core`: value types that all packages share. Ids, resources, times, outcomes, jobs, errors
/// and the typed calls that an entry host serves.
///
/// Two programs use it, each with its own settings: the entry host and the host of a cell with one leader.
///
/// Depends on: the standard library only.
/// Threads: value types, each thread uses its own copies; request_tracker is thread-safe.

#include "core/calls.h"
#include "core/duration_text.h"
#include "core/endpoint.h"
#include "core/errors.h"
#include "core/hybrid_time.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/names.h"
#include "core/outcome.h"
#include "core/request_tracker.h"
#include "core/resources.h"
#include "core/strong_types.h"
#include "core/time.h"
