#pragma once

#include "cell/peer_view.h"
#include "core/calls.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "external/worker_service.h"
#include "ledger/stream_session.h"
#include "telemetry/event.h"

#include <functional>
#include <string>

namespace rattanmount::control {

/// A lease call to make; the reply goes to host_control::on_lease.
struct lease_order {
    core::shard_id shard;
    core::worker_id worker;
    core::endpoint address;
    external::lease_request request;
    core::steady_time sent; ///< Identifies the call in its reply.
};

/// A start to send; the reply goes to host_control::on_start.
struct start_order {
    core::shard_id shard;
    core::worker_id worker;
    core::endpoint address;
    core::lease_id lease;
    /// Compared with the steady clock just before the send; if it has passed, the start is not sent.
    core::steady_time not_after;
    core::attempt_id attempt;
    core::resources each;
    std::string payload;
};

/// A stop, checkpoint or throttle to send. Its effect shows in the worker's next inventory.
struct act_order {
    core::worker_id worker;
    core::endpoint address;
    core::lease_id lease;
    core::attempt_id attempt;
    external::attempt_action action = external::attempt_action::stop;
};

/// A job to move to another shard's owner; the reply goes to host_control::on_moved.
struct move_order {
    core::shard_id from;
    core::shard_id to;
    core::endpoint peer;
    core::job_spec spec;
    core::system_time accepted_at;
};

/// Orders of the control thread that other threads execute, as hooks.
///
/// Each hook returns at once and is called by the control thread only; the traffic threads that execute an
/// order post the reply to the control thread. Set by the entry host, or by a test.
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
    /// Reports a change of state, for the timeline and the log.
    std::function<void(telemetry::event_kind, const telemetry::event_fields&)> on_change;
    std::function<core::system_time()> wall_time;
    /// Returns the host's hybrid clock as a number, for messages to peers.
    std::function<std::uint64_t()> hybrid_time = [] { return 0; };
};

} // namespace rattanmount::control
