#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <vector>

namespace rattanmount::cell {

/// Free slots of one service on the executors of one shard, as its owner counts them. A hint.
struct service_room {
    core::service_id service;
    std::uint32_t free_slots = 0;

    friend bool operator==(const service_room&, const service_room&) = default;
};

/// One shard as its owner describes it to the other entry hosts. A hint: late or wrong costs only time.
struct shard_view {
    core::shard_id shard;
    core::epoch_id epoch;
    bool serving = false; ///< The owner has taken over completely and starts work.
    std::uint32_t waiting_tasks = 0;
    core::resources free;         ///< Over all workers of the shard.
    core::resources largest_free; ///< On the worker with the most room.
    std::vector<service_room> services;

    friend bool operator==(const shard_view&, const shard_view&) = default;
};

/// What one team holds on the shards of one entry host; for quotas over a region. A hint.
struct team_usage {
    core::team_id team;
    core::resources held;

    friend bool operator==(const team_usage&, const team_usage&) = default;
};

/// What an entry host tells the others with each heartbeat, and answers to one.
struct peer_view {
    core::host_id host;
    core::incarnation_id incarnation;
    core::endpoint inner; ///< Where it takes calls of the inner protocol.
    core::endpoint front; ///< Where it takes calls of callers and operators.
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
