#pragma once

/// @file
/// The package `front`: the HTTP server and client for callers and operators. `routes` maps paths to typed
/// calls, `json_codec` converts the core types to and from JSON, `http_front` manages the
/// connections of an entry host, and `http_server` those of a host on the users' platform.
///
/// Depends on: core, Poco Net, nlohmann-json.
/// Threads: traffic threads only. `http_front` uses one thread per connection; `http_server` has one
/// polling thread and serves requests on the threads of its owner; `api_client` blocks the
/// calling thread.

#include "front/api_client.h"
#include "front/front_counters.h"
#include "front/http_front.h"
#include "front/json_codec.h"
#include "front/routes.h"
