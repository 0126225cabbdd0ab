#pragma once

/// @file
/// Simulated platform services for tests: a log, a fleet list, workers and executors over HTTP, with an event
/// journal and fault injection. Not part of the product.
///
/// A stand_in_server handles HTTP and applies faults; a role holds the state of one service.
/// docs/STAND-INS.md describes the calls.
///
/// Depends on: core; external for the encodings of the platform's calls; Poco Net, nlohmann-json, cxxopts.
/// Threads: one per connection, from the thread pool of the server; each role guards its state with a mutex.

#include "stand_ins/executors_role.h"
#include "stand_ins/faults.h"
#include "stand_ins/fleet_role.h"
#include "stand_ins/journal.h"
#include "stand_ins/log_role.h"
#include "stand_ins/stand_in_server.h"
#include "stand_ins/workers_role.h"
