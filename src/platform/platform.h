#pragma once

/// @file
/// The package `platform`: what the platform gives, as hooks (log, fleet list, workers, executors), and
/// the clients that reach it over HTTP.
///
/// Depends on: core; the clients also on Poco Net and nlohmann-json.
/// Threads: traffic threads only; every call blocks up to its timeout.

#include "platform/executor_service.h"
#include "platform/fleet_service.h"
#include "platform/log_service.h"
#include "platform/worker_service.h"
