#pragma once

/// @file
/// The package `ledger`: the records in the log's streams, the replicated state machines that apply them,
/// and the stream sessions that write records and determine the outcome of each append.
///
/// Depends on: core, release, and the types of external/log_service.h; the codec and the snapshots of the
/// state machines also on Thrift.
/// Threads: the control thread owns state machines and sessions; the codec may be called by any thread.

#include "ledger/codec.h"
#include "ledger/config_state_machine.h"
#include "ledger/job_entry.h"
#include "ledger/producer_table.h"
#include "ledger/records.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stable_hash.h"
#include "ledger/stream_session.h"
