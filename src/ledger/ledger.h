#pragma once

/// @file
/// The package `ledger`: the records of the log's streams, the folds that give them their meaning, and
/// the writer that settles the fate of each append.
///
/// Depends on: core, release; the codec also on Thrift.
/// Threads: the control thread owns folds and writers; the codec may be called by any thread.

#include "ledger/records.h"
