#pragma once

/// @file
/// The package `cell`: shards, their owners, the entry hosts that are members, and the leases of workers.
///
/// Depends on: core, ledger.
/// Threads: the control thread owns all state of this package; peer_calls are called by traffic threads.

#include "cell/cell_layout.h"
#include "cell/membership.h"
#include "cell/ownership.h"
#include "cell/peer_calls.h"
#include "cell/peer_view.h"
#include "cell/worker_lease.h"
