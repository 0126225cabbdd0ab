#pragma once

/// @file
/// Stand-ins for the platform, for tests: a log, a fleet list, workers and executors over HTTP, with a
/// journal of all that happened and with faults to order. No part of the product.
///
/// A stand_in_server speaks HTTP and applies faults; a role has the state of one service. docs/STAND-INS.md
/// describes the calls.
///
/// Depends on: core; platform for the fleet list's encoding; Poco Net, nlohmann-json, cxxopts.
/// Threads: one for each connection, from the server's thread pool; roles lock their own state.

#include "stand_ins/executors_role.h"
#include "stand_ins/faults.h"
#include "stand_ins/fleet_role.h"
#include "stand_ins/journal.h"
#include "stand_ins/log_role.h"
#include "stand_ins/stand_in_server.h"
#include "stand_ins/workers_role.h"
