#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace rattanmount::external {

/// An entry host in the fleet list.
struct listed_host {
    core::host_id name;
    core::endpoint inner; ///< Where it serves the inner protocol.
    core::data_centre_id data_centre;
    bool leaving = false;
};

/// A worker in the fleet list.
struct listed_worker {
    core::worker_id name;
    core::endpoint address;
    core::data_centre_id data_centre;
    core::rack_id rack;
    core::resources capacity;
    bool leaving = false;

    friend bool operator==(const listed_worker&, const listed_worker&) = default;
};

/// An executor in the fleet list.
struct listed_executor {
    core::executor_id name;
    core::endpoint address;
    core::data_centre_id data_centre;
    core::rack_id rack;
    core::service_id service;
    std::uint32_t slots = 0;       ///< Requests that it serves concurrently.
    std::uint32_t connections = 0; ///< Open connections that it accepts from all entry hosts together.
    bool leaving = false;

    friend bool operator==(const listed_executor&, const listed_executor&) = default;
};

/// The platform's list of hosts. It lags behind: it may still list failed hosts as live and lack new ones.
struct fleet_list {
    std::uint64_t version = 0;
    std::vector<listed_host> hosts;
    std::vector<listed_worker> workers;
    std::vector<listed_executor> executors;
};

/// Access to the platform's list of live and leaving hosts, as a hook.
///
/// Blocking; any traffic thread may call it.
struct fleet_service {
    /// @throws core::unavailable if the list cannot be fetched.
    std::function<fleet_list(core::milliseconds timeout)> list;
};

} // namespace rattanmount::external
