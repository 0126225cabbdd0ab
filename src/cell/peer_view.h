#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <vector>

namespace rattanmount::cell {

/// Free slots of one service on the executors of one shard, as counted by the shard's owner. A hint.
struct service_room {
    core::service_id service;
    std::uint32_t free_slots = 0;

    friend bool operator==(const service_room&, const service_room&) = default;
};

/// A shard as its owner describes it to the other entry hosts. A hint: stale or wrong values only cost time.
struct shard_view {
    core::shard_id shard;
    core::epoch_id epoch;
    bool serving = false; ///< The takeover is complete, and the owner starts work.
    std::uint32_t waiting_tasks = 0;
    core::resources free;         ///< Sum over all workers of the shard.
    core::resources largest_free; ///< On the worker with the most free resources.
    std::vector<service_room> services;

    friend bool operator==(const shard_view&, const shard_view&) = default;
};

/// Resources that one team uses on the shards of one entry host; for quotas over a region. A hint.
struct team_usage {
    core::team_id team;
    core::resources held;

    friend bool operator==(const team_usage&, const team_usage&) = default;
};

/// State of an entry host, exchanged with every heartbeat and its answer.
struct peer_view {
    core::host_id host;
    core::incarnation_id incarnation;
    core::endpoint inner; ///< Address for calls of the inner protocol.
    core::endpoint front; ///< Address for callers and operators.
    core::data_centre_id data_centre;
    bool leaving = false;
    bool log_available = false;   ///< Its last call to the platform's log was answered.
    std::uint64_t clock = 0;      ///< Its hybrid logical clock, as a number.
    core::log_offset config_next; ///< The first offset of the configuration stream that it has not applied.
    std::vector<shard_view> shards;
    std::vector<team_usage> teams;

    friend bool operator==(const peer_view&, const peer_view&) = default;
};

} // namespace rattanmount::cell
