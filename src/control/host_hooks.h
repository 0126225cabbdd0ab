#pragma once

#include "cell/peer_view.h"
#include "core/calls.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "ledger/stream_session.h"
#include "platform/worker_service.h"

#include <functional>
#include <string>

namespace rattanmount::control {

/// A lease call to be made; the reply goes to host_control::on_lease.
struct lease_order {
    core::shard_id shard;
    core::worker_id worker;
    core::endpoint address;
    platform::lease_request request;
    core::steady_time sent; ///< Names the call in its reply.
};

/// A start to be sent; the reply goes to host_control::on_start.
struct start_order {
    core::shard_id shard;
    core::worker_id worker;
    core::endpoint address;
    core::lease_id lease;
    core::steady_time not_after; ///< Compared with the steady clock just before the send; later: not sent.
    core::attempt_id attempt;
    core::resources each;
    std::string payload;
};

/// A stop, checkpoint or throttle to be sent. Its effect is seen in the worker's next inventory.
struct act_order {
    core::worker_id worker;
    core::endpoint address;
    core::lease_id lease;
    core::attempt_id attempt;
    platform::attempt_action action = platform::attempt_action::stop;
};

/// A job to be handed to another shard's owner; the reply goes to host_control::on_moved.
struct move_order {
    core::shard_id from;
    core::shard_id to;
    core::endpoint peer;
    core::job_spec spec;
    core::system_time accepted_at;
};

/// A change of state, for the time line and the log.
struct state_change {
    enum class kind_type : std::uint8_t {
        job_accepted,
        task_placed,
        task_start_sent,
        task_started,
        task_ended,
        job_ended,
        job_cancelled,
        job_moved,
        shard_claimed,
        shard_serving,
        shard_lost,
        shard_released,
        lease_taken,
        lease_lost,
        note_in_force,
        note_refused,
        peer_joined,
        log_down,
        log_up,
        preempted,
    };
    kind_type kind = kind_type::job_accepted;
    std::string job;
    std::string worker;
    std::string shard;
    std::string detail;
};

/// What the control thread has done by others, as hooks.
///
/// Each hook returns at once and is called by the control thread only; the traffic threads that carry an
/// order out post the reply to the control thread. Set by the entry host; in tests by the test.
struct host_hooks {
    std::function<void(const ledger::append_request&)> append;
    std::function<void(const ledger::read_request&)> read;
    std::function<void(const lease_order&)> lease;
    std::function<void(const start_order&)> start;
    std::function<void(const act_order&)> act;
    std::function<void(const move_order&)> move;
    std::function<void(const core::endpoint& peer, const cell::peer_view&)> heartbeat;
    std::function<void()> fetch_fleet;
    std::function<void(const core::endpoint& peer)> copy_config;
    std::function<void(const state_change&)> on_change;
    std::function<core::system_time()> wall_time;
};

} // namespace rattanmount::control
