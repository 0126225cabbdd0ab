#pragma once

/// @file
/// The package `runtime`: one host of a cell in which one host is the leader. It contains the control thread
/// with the state that this thread owns, and the threads that read the log, write it and make blocking calls.
///
/// `host_process` is the entry point. `cell_control` holds all state that the control thread owns.
/// `log_follower` and `log_writer` read and write the platform's log through the hooks of `cell::keyed_log`.
/// `relayed_log` reaches the log through a peer when the log does not answer this host. `record_store` sends
/// the records of callers' requests to the leader, which appends them together with those of other hosts.
///
/// Depends on: core, cell, control (event queue), dispatch, inner (encoding of records), workflow, telemetry.
/// Threads: see each class. No thread spins while it waits.

#include "runtime/host_process.h"
