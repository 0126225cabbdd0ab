#pragma once

#include "cell/peer_view.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "routing/admission_queue.h"
#include "routing/peer_rooms.h"
#include "routing/slot_table.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace rattanmount::control {

/// Where a quick request may be sent.
struct quick_route {
    enum class target_type : std::uint8_t {
        granted, ///< A slot of a shard of this host.
        ask,     ///< The owner of the shard at the endpoint probably has one; say how it answered.
        shed,    ///< No slot: the queue is full or the time is over; the reason says which.
        refused, ///< The pool, team or service is not known; the reason says which.
    };
    target_type target = target_type::shed;
    core::shard_id shard;
    routing::slot slot;
    core::steady_time until{}; ///< For granted: when the request must be over.
    core::endpoint peer;
    std::string reason;
};

using quick_responder = std::function<void(quick_route)>;

/// What a request needs a slot for.
struct slot_need {
    routing::waiting_request request;    ///< `ticket` is set by the broker.
    core::milliseconds attempt_limit{0}; ///< How long it may use the slot, and not beyond its deadline.
};

struct slot_broker_options {
    routing::admission_queue_options queue;
    routing::peer_rooms_options rooms;
    std::size_t peer_waiters = 16; ///< Asks of peers that wait here at once; each holds one of our threads.
    /// Sets a slot of this host's shards aside, on the shard named or on any.
    std::function<std::optional<quick_route>(const core::service_id&, std::optional<core::shard_id>,
                                             core::milliseconds limit, core::steady_time now)>
        reserve_own;
};

/// Brings the quick requests that wait at this host and the slots that come free together.
///
/// A request is answered as soon as there is a slot, and shed as soon as it is sure that there will be none
/// in time. Owned by host_control; the control thread only.
class slot_broker {
public:
    explicit slot_broker(slot_broker_options options);

    /// Finds a slot, at once or when one is free.
    /// @param need what for. With a shard set, it is a peer's request and waits for that shard's slots only.
    /// @param now the time.
    /// @param respond called once.
    void find(const slot_need& need, core::steady_time now, quick_responder respond);

    /// Hands out what is free and sheds what cannot be served any more. To be called when a slot comes free
    /// and every few milliseconds.
    /// @param now the time.
    void serve(core::steady_time now);

    /// Takes what a peer says of its free slots.
    /// @param view the peer's view.
    /// @param now the time.
    void on_view(const cell::peer_view& view, core::steady_time now);

    /// Takes the answer of the owner that a request was told to ask.
    /// @param shard the shard that was asked.
    /// @param service the service asked for.
    /// @param refused it gave no slot.
    /// @param now the time.
    void on_peer_answer(core::shard_id shard, const core::service_id& service, bool refused,
                        core::steady_time now);

private:
    struct waiter {
        core::milliseconds attempt_limit{0};
        quick_responder respond;
        bool of_peer = false;
    };

    [[nodiscard]] std::optional<quick_route> route(const slot_need& need, core::steady_time now);
    void shed_hopeless(core::steady_time now);

    slot_broker_options options;
    routing::admission_queue queue;
    routing::peer_rooms rooms;
    std::map<std::uint64_t, waiter> waiters;
    std::size_t peers_waiting = 0;
    std::uint64_t next_ticket = 1;
};

} // namespace rattanmount::control
