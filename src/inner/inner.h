#pragma once

/// @file
/// The package `inner`: the protocol between the entry hosts of a cell. It uses Thrift's compact protocol in
/// frames over TCP; `inner.thrift` defines the interface and `gen/` holds the generated code.
///
/// Depends on: core, cell (and the types of dispatch that its calls use), workflow, ledger, Thrift.
/// Threads: traffic threads only. A server runs one thread per connection; a client's calls block the caller.

#include "inner/client_cache.h"
#include "inner/inner_client.h"
#include "inner/inner_server.h"
#include "inner/traffic_counters.h"
