#pragma once

/// @file
/// The package `inner`: the protocol between the entry hosts of a cell. Thrift's compact protocol in frames
/// over TCP; `inner.thrift` holds the interface and `gen/` the code that was generated from it.
///
/// Depends on: core, cell, Thrift.
/// Threads: traffic threads only. A server has one thread per connection; a client's calls block the caller.

#include "inner/client_cache.h"
#include "inner/inner_client.h"
#include "inner/inner_server.h"
#include "inner/traffic_counters.h"
