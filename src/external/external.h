#pragma once

/// @file
/// The package `external`: what our own form of a platform gives, as hooks (log, fleet list, workers,
/// executors), and the clients that reach it over HTTP.
///
/// One client for each service encodes its calls; http_caller makes them over a connection_pool of
/// http_connection, and tells exactly what is known of each: not sent, answered, timed out or broken.
/// http_multiplexer does the same for many calls at a time on one thread, over http_channel.
///
/// Depends on: core, telemetry; the clients also on Poco Net and nlohmann-json.
/// Threads: traffic threads only; every call of http_caller blocks up to its timeout, and each client's pool
/// has one thread of its own, which closes idle connections. A http_multiplexer has one thread for all.

#include "external/executor_service.h"
#include "external/fleet_service.h"
#include "external/http_executor_client.h"
#include "external/http_fleet_client.h"
#include "external/http_log_client.h"
#include "external/http_worker_client.h"
#include "external/log_service.h"
#include "external/traffic_counters.h"
#include "external/worker_service.h"
