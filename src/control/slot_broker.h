#pragma once

#include "cell/peer_view.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "routing/admission_queue.h"
#include "routing/peer_selector.h"
#include "routing/slot_table.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace rattanmount::control {

/// Where to send a quick request.
struct quick_route {
    enum class target_type : std::uint8_t {
        granted,  ///< A slot on one of this host's shards.
        ask_peer, ///< The owner at `peer` probably has a slot; its answer goes to on_peer_answer().
        shed,     ///< No slot: the queue is full or the time is up; see `reason`.
        refused,  ///< The pool, team or service is unknown; see `reason`.
    };
    target_type target = target_type::shed;
    core::shard_id shard;
    routing::slot slot;
    core::steady_time until{}; ///< For granted: the deadline of the request.
    core::endpoint peer;
    std::string reason;
};

using quick_responder = std::function<void(quick_route)>;

/// A quick request that needs a slot.
struct slot_need {
    routing::waiting_request request;    ///< `ticket` is set by the broker.
    core::milliseconds attempt_limit{0}; ///< How long the request may use the slot, capped by its deadline.
};

struct slot_broker_options {
    routing::admission_queue_options queue;
    routing::peer_selector_options rooms;
    /// Maximum number of peers' requests that wait here at once; each one blocks a traffic thread.
    std::size_t max_peer_waiters = 16;
    /// Reserves a slot on this host's shards, on the given shard or on any.
    std::function<std::optional<quick_route>(const core::service_id&, std::optional<core::shard_id>,
                                             core::milliseconds limit, core::steady_time now)>
        reserve_local;
};

/// Matches the quick requests that wait at this host with the slots that become free.
///
/// A request is answered as soon as there is a slot, and shed as soon as it is certain that none will be free
/// in time. Owned by quick_slots; used by the control thread only.
class slot_broker {
public:
    explicit slot_broker(slot_broker_options options);

    /// Finds a slot, at once or when one becomes free.
    /// @param need the request. If it names a shard, it is a peer's request and waits for slots of that shard
    ///        only.
    /// @param respond called once.
    void find(const slot_need& need, core::steady_time now, quick_responder respond);

    /// Hands out free slots and sheds requests that can no longer be served. Must be called when a slot
    /// becomes free and at each tick of the control thread.
    void serve(core::steady_time now);

    /// Updates the free slots that a peer reports.
    void on_view(const cell::peer_view& view, core::steady_time now);

    /// Processes the answer of the owner that a request was sent to.
    /// @param refused whether the owner gave no slot.
    void on_peer_answer(core::shard_id shard, const core::service_id& service, bool refused,
                        core::steady_time now);

private:
    struct waiter {
        core::milliseconds attempt_limit{0};
        quick_responder respond;
        bool from_peer = false;
    };

    [[nodiscard]] std::optional<quick_route> route(const slot_need& need, core::steady_time now);
    void shed_unservable(core::steady_time now);

    slot_broker_options options;
    routing::admission_queue queue;
    routing::peer_selector rooms;
    std::map<std::uint64_t, waiter> waiters;
    std::size_t waiting_peer_requests = 0;
    std::uint64_t next_ticket = 1;
};

} // namespace rattanmount::control
