#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace rattanmount::routing {

/// The number of free slots of one service on one shard of another entry host, as last reported by that host.
struct peer_capacity {
    core::shard_id shard;
    core::endpoint peer; ///< The entry host that owns the shard.
    core::service_id service;
    std::uint32_t free_slots = 0;
};

/// The shard of another entry host to request a slot from.
struct peer_choice {
    core::shard_id shard;
    core::endpoint peer;
};

struct peer_selector_options {
    /// Largest number of pending slot requests to a shard with no known free slot.
    std::uint32_t max_pending_per_shard = 1;
    /// Returns a uniformly distributed number from 0 to bound - 1.
    std::function<std::size_t(std::size_t bound)> random = [](std::size_t) { return std::size_t{0}; };
};

/// Selects the shard of another entry host to request a slot from, based on the free slots that the peers
/// reported last.
///
/// Uses the power of two random choices: of two shards picked at random, takes the one with more free slots.
/// Decrements the known number at once, so that requests do not all go to the same shard until its owner
/// reports again. Owned by slot_broker and used on the control thread only.
class peer_selector {
public:
    explicit peer_selector(peer_selector_options options);

    /// Replaces everything that is known about a peer's shards with its latest report.
    /// @param peer the endpoint of the peer.
    /// @param capacities the free slots per shard and service that it reports.
    void update(const core::endpoint& peer, const std::vector<peer_capacity>& capacities);

    /// Selects a shard and counts one pending slot request to it.
    /// @return empty if no shard is likely to have a slot soon.
    std::optional<peer_choice> choose(const core::service_id& service);

    /// Called when a slot request has ended.
    /// @param refused whether the owner refused a slot. If so, the shard is not selected for this service
    ///        until its owner reports again.
    void on_answer(core::shard_id shard, const core::service_id& service, bool refused);

private:
    struct state {
        peer_capacity capacity;
        std::uint32_t pending_requests = 0; ///< Slot requests without an answer yet.
        bool refused = false;               ///< Whether it refused a slot since its owner last reported.
    };
    using key = std::pair<core::shard_id, core::service_id>;

    peer_selector_options options;
    std::map<key, state> states;
};

} // namespace rattanmount::routing
