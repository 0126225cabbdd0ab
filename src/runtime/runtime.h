#pragma once

/// @file
/// The package `runtime`: the process of a host in a cell with one leader. It contains the control thread
/// with the state that this thread owns, and the threads that read the log, write it and make blocking calls.
///
/// `host_process` is the entry point. `cell_control` holds all state that the control thread owns.
/// `log_follower` and `log_writer` read and write the platform's log through the hooks of `cell::keyed_log`.
/// `relayed_log` reaches the log through a peer when the log does not answer this host. `record_store` sends
/// the records of callers' requests to the leader, which appends them together with those of other hosts.
/// `peer_directory` holds the other hosts and the calls that reach them, `advice_balancer` distributes calls
/// of the advisory service over the hosts, `key_check` decides about keys of callers that this host does not
/// know, and `elastic_pool` is a thread pool for blocking calls.
///
/// A traffic thread is any thread that may block in a call, such as those of host_process's `elastic_pool`;
/// never the control thread.
///
/// Depends on: core, cell, control (event queue), dispatch, inner (encoding of records), workflow, telemetry.
/// Threads: see each class. No thread spins while it waits.

#include "runtime/host_process.h"
