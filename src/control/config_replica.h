#pragma once

#include "cell/peer_calls.h"
#include "control/host_hooks.h"
#include "control/stream_driver.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/log_service.h"
#include "ledger/config_state_machine.h"
#include "ledger/stream_session.h"
#include "release/policy_registry.h"

#include <functional>
#include <map>

namespace rattanmount::control {

struct config_replica_options {
    ledger::session_options session; ///< `apply`, `reset` and `state` are set by the replica.
    core::milliseconds snapshot_interval{6 * 3600 * 1000}; ///< Must be well below the log's retention.
};

/// This entry host's copy of the cell's configuration: reads the configuration stream, writes release notes,
/// rack assignments and snapshots to it, and exchanges copies of its state with peers.
///
/// Call send_log_requests() at each tick, and pass on the replies about stream(). Owned by host_control; used
/// by the control thread only.
class config_replica {
public:
    /// @param hooks execute its orders; must outlive this object.
    config_replica(config_replica_options options, const host_hooks& hooks);
    ~config_replica() = default;
    config_replica(const config_replica&) = delete;
    config_replica& operator=(const config_replica&) = delete;

    /// Plans the first snapshot. Called once, with the first tick.
    void begin(core::steady_time now) { this->driver.plan_snapshots(now); }

    /// Sends the log calls that are due, and reports when the log has become available or unavailable.
    void send_log_requests(core::steady_time now);

    void on_append(core::sequence_number sequence, const external::append_reply& reply,
                   core::steady_time now);
    void on_read(core::log_offset from, const external::read_reply& reply, core::steady_time now);

    /// Adopts a peer's state if that is newer than the one here.
    /// @throws core::invalid_argument if the state cannot be decoded; nothing is changed then.
    void load(const cell::config_copy& copy);

    /// @return the state, for a peer; not available before ready().
    [[nodiscard]] cell::config_copy copy() const;

    /// @return whether a snapshot is due and can be written.
    [[nodiscard]] bool snapshot_due(core::steady_time now) const;

    /// Writes a snapshot to the stream.
    void take_snapshot(core::steady_time now) { this->driver.take_snapshot(now); }

    /// @return whether the state is complete, the log available and no record being written.
    [[nodiscard]] bool idle() const;

    /// Records the shards of racks.
    /// @param racks the racks without a shard, each with the shard to assign it to.
    /// @param settled called for each rack when the outcome of its record is known.
    void assign_racks(const std::map<core::rack_id, core::shard_id>& racks,
                      const std::function<void()>& settled);

    /// Records a release note.
    /// @param settled called once, when the outcome of the record is known; the note's result can then be
    ///        read from state().
    void propose(const release::release_note& note, core::steady_time now,
                 std::function<void(ledger::record_outcome)> settled);

    /// @return whether the state is complete and as recent as the log or a peer was when it was read.
    [[nodiscard]] bool ready() const { return this->state_machine.has_base_state() && this->was_read; }
    [[nodiscard]] bool log_available() const { return this->session.log_available(); }
    /// @return the first offset of the stream that has not been applied.
    [[nodiscard]] core::log_offset next() const { return this->session.next(); }
    [[nodiscard]] const core::stream_id& stream() const { return this->options.session.stream; }
    [[nodiscard]] const ledger::config_state_machine& state() const { return this->state_machine; }
    /// @return the pools and teams in force.
    [[nodiscard]] const release::policy_registry& policies() const { return this->state_machine.policies(); }

private:
    [[nodiscard]] ledger::session_options session_options();

    config_replica_options options;
    const host_hooks& hooks;
    ledger::config_state_machine state_machine;
    ledger::stream_session session;
    stream_driver driver;
    bool was_read = false; ///< The stream was read to its end once, or a peer's state was adopted.
    bool log_was_available = false;
};

} // namespace rattanmount::control
