#pragma once

/// @file
/// The package `runtime`: one host of a cell that is led by one of its hosts. The control thread with the
/// state that it owns, and the threads that follow the log, write it, and carry out orders.
///
/// `host_process` is the way in; `cell_control` is all that the control thread owns; `keyed_follower` and
/// `log_writer` read and write the platform's log through the hooks of `keyed_log`; `relayed_log` goes
/// through a peer where the log turns this host away, and `record_store` has the leader store what callers
/// hand in.
///
/// Depends on: core, cell, dispatch, inner (encoding of records), workflow, telemetry.
/// Threads: as each class says; none spins.

#include "runtime/host_process.h"
