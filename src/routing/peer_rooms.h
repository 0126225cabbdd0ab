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

/// Free slots of one service on one shard of another entry host, as that host said last.
struct peer_room {
    core::shard_id shard;
    core::endpoint peer; ///< The owner of the shard.
    core::service_id service;
    std::uint32_t free_slots = 0;
};

/// The shard of another entry host to ask for a slot.
struct peer_choice {
    core::shard_id shard;
    core::endpoint peer;
};

struct peer_rooms_options {
    std::uint32_t asks_per_shard = 1; ///< Asks under way at a shard that is not known to have a free slot.
    /// @return a number from 0 to below the bound, each as likely.
    std::function<std::size_t(std::size_t bound)> random = [](std::size_t) { return std::size_t{0}; };
};

/// What is known of the free slots of other entry hosts' shards, and the choice between them.
///
/// Of two shards picked at random the one with more room is taken, and the room is counted down at once, so
/// that not all requests go to the same one until its owner is heard again. Owned by the slot_broker; the
/// control thread only.
class peer_rooms {
public:
    explicit peer_rooms(peer_rooms_options options);

    /// Takes what one owner says of its shards, in place of what it said before.
    /// @param peer where the owner takes calls.
    /// @param rooms its free slots.
    void set(const core::endpoint& peer, const std::vector<peer_room>& rooms);

    /// @param service the service asked for.
    /// @return the shard to ask, or empty where no ask is likely to get a slot soon.
    std::optional<peer_choice> choose(const core::service_id& service);

    /// Takes note that an ask is over.
    /// @param shard the shard that was asked.
    /// @param service the service asked for.
    /// @param refused its owner gave no slot: it is left out until it is heard again.
    void on_answer(core::shard_id shard, const core::service_id& service, bool refused);

private:
    struct state {
        peer_room room;
        std::uint32_t asks = 0; ///< Under way.
        bool refused = false;   ///< Since it was heard last.
    };
    using key = std::pair<core::shard_id, core::service_id>;

    peer_rooms_options options;
    std::map<key, state> states;
};

} // namespace rattanmount::routing
