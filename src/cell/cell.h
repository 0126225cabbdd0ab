#pragma once

/// @file
/// The package `cell`: shards and their owners, membership of entry hosts, and worker leases.
///
/// Depends on: core, dispatch, external, workflow.
/// Threads: the control thread owns all state of this package. The hooks of peer_calls are called by traffic
/// threads.

#include "cell/cell_layout.h"
#include "cell/membership.h"
#include "cell/ownership.h"
#include "cell/peer_calls.h"
#include "cell/peer_view.h"
#include "cell/worker_lease.h"
