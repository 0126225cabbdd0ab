#pragma once

/// @file
/// The package `front`: HTTP for callers and operators, its serving and its calling side. `routes` finds the
/// typed call for a path, `json_codec` holds the JSON form of the core types, `http_front` the connections.
///
/// Depends on: core, Poco Net, nlohmann-json.
/// Threads: traffic threads only. The server has one thread per connection; a client's calls block the
/// caller.

#include "front/api_client.h"
#include "front/front_counters.h"
#include "front/http_front.h"
#include "front/json_codec.h"
#include "front/routes.h"
