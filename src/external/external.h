#pragma once

/// @file
/// The package `external`: the services of a platform of our own (log, fleet list, workers, executors) as
/// hooks, and the clients that call them over HTTP. That platform has the interfaces that this project
/// defined itself, as the stand-ins in dev/ show; the users' platform is the one that the users run.
///
/// Each service has a client that encodes its calls. http_caller sends them over a connection_pool of
/// http_connection and reports the outcome of each: not sent, answered, timed out or broken.
/// http_connection checks that an answer repeats the correlation id of its call; http_channel does not.
/// http_multiplexer does the same for many concurrent calls on one thread, over http_channel.
///
/// Depends on: core, telemetry; the clients also on Poco Net and nlohmann-json.
/// Threads: traffic threads only. Every call of http_caller blocks up to its timeout. Each client's pool has
/// one thread that closes idle connections. An http_multiplexer has one thread for all its calls.

#include "external/executor_service.h"
#include "external/fleet_service.h"
#include "external/http_executor_client.h"
#include "external/http_fleet_client.h"
#include "external/http_log_client.h"
#include "external/http_worker_client.h"
#include "external/log_service.h"
#include "external/traffic_counters.h"
#include "external/worker_service.h"
