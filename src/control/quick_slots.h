#pragma once

#include "cell/peer_calls.h"
#include "cell/peer_view.h"
#include "control/config_replica.h"
#include "control/shard_table.h"
#include "control/slot_broker.h"
#include "core/calls.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace rattanmount::control {

struct quick_slots_options {
    slot_broker_options broker; ///< `reserve_local` is set by quick_slots.
    /// Returns whether others may own this host's shards without its knowledge, so that no slot of these may
    /// be given out.
    std::function<bool(core::steady_time now)> may_have_lost_shards;
};

/// Slots for quick requests: checks callers' requests and peers' requests, and passes them to the broker with
/// the priority of their pool.
///
/// Owned by host_control; used by the control thread only.
class quick_slots {
public:
    /// @param config knows pools and teams; must outlive this object.
    /// @param shards this host's shards, whose slots are given out; must outlive this object.
    quick_slots(quick_slots_options options, const config_replica& config, const shard_table& shards);
    ~quick_slots() = default;
    quick_slots(const quick_slots&) = delete;
    quick_slots& operator=(const quick_slots&) = delete;

    /// Finds a slot for a caller's request, see host_control::reserve.
    void reserve(const core::quick_request& request, core::milliseconds limit,
                 core::milliseconds attempt_limit, core::steady_time now, quick_responder respond);

    /// Reserves a slot for a peer's request, see host_control::reserve_for_peer.
    void reserve_for_peer(core::shard_id shard, const core::service_id& service,
                          const core::incarnation_id& caller, core::milliseconds limit,
                          core::milliseconds wait, core::steady_time now,
                          const std::function<void(cell::slot_grant)>& respond);

    /// Frees a slot that was granted. Ignored if this host does not own the shard any more.
    void release(core::shard_id shard, std::uint64_t grant, cell::slot_release how, core::steady_time now);

    /// Hands out free slots and sheds requests that can no longer be served. Called at each tick.
    void serve(core::steady_time now) { this->broker.serve(now); }

    /// Updates the free slots that a peer reports.
    void on_view(const cell::peer_view& view, core::steady_time now) { this->broker.on_view(view, now); }

    /// Processes the answer of the owner that a request was sent to.
    /// @param refused whether the owner gave no slot.
    void on_peer_answer(core::shard_id shard, const core::service_id& service, bool refused,
                        core::steady_time now) {
        this->broker.on_peer_answer(shard, service, refused, now);
    }

private:
    [[nodiscard]] slot_broker_options broker_options();
    [[nodiscard]] std::optional<quick_route> reserve_local(const core::service_id& service,
                                                           std::optional<core::shard_id> only,
                                                           core::milliseconds limit,
                                                           core::steady_time now) const;

    quick_slots_options options;
    const config_replica& config;
    const shard_table& shards;
    slot_broker broker;
};

} // namespace rattanmount::control
