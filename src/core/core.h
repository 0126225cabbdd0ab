#pragma once

/// @file
/// The package `core`: values that all packages share. Ids, amounts, times, outcomes, jobs, errors and
/// the typed calls of a cell.
///
/// Depends on: the standard library only.
/// Threads: values only; each thread uses its own copies.

#include "core/activity.h"
#include "core/calls.h"
#include "core/duration_text.h"
#include "core/endpoint.h"
#include "core/errors.h"
#include "core/hybrid_time.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/names.h"
#include "core/outcome.h"
#include "core/resources.h"
#include "core/strong_types.h"
#include "core/time.h"
