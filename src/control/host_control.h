#pragma once

#include "cell/cell_layout.h"
#include "cell/membership.h"
#include "cell/peer_calls.h"
#include "control/config_replica.h"
#include "control/fleet_map.h"
#include "control/host_hooks.h"
#include "control/note_applier.h"
#include "control/quick_slots.h"
#include "control/resource_overview.h"
#include "control/shard_controller.h"
#include "control/shard_ownership.h"
#include "control/shard_table.h"
#include "control/slot_broker.h"
#include "core/calls.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/fleet_service.h"
#include "ledger/config_state_machine.h"
#include "ledger/stream_session.h"
#include "routing/slot_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::control {

struct host_control_options {
    core::host_id host;
    core::incarnation_id incarnation;
    core::endpoint inner;
    core::endpoint front;
    core::data_centre_id data_centre;
    std::vector<cell::region_layout> regions;
    std::uint32_t shards = 1;
    std::string stream_prefix = "rattanmount";
    core::milliseconds suspect_after{3000};
    core::milliseconds heartbeat_interval{1000};
    core::milliseconds fleet_interval{1000};
    /// Time before the first claim, to receive heartbeats of other hosts.
    core::milliseconds startup_wait{2000};
    /// A shard is handed over after another host has been preferred for this long.
    core::milliseconds rebalance_after{10000};
    /// Shards are given up after this long without contact to log and peers.
    core::milliseconds isolation_limit{10000};
    /// For the configuration stream; must be well below its retention.
    core::milliseconds snapshot_interval{6 * 3600 * 1000};
    ledger::session_options config_session; ///< `stream`, `producer`, `apply` and `reset` are set here.
    shard_controller_options controller;    ///< The values that differ per shard are set here.
    slot_broker_options quick;              ///< `reserve_local` is set here.
};

/// Where to send calls about a job.
struct job_route {
    enum class target_type : std::uint8_t {
        refused,  ///< No host can take the call; see `reason`.
        local,    ///< This host owns the shard.
        peer,     ///< The peer at the endpoint is believed to own the shard.
        no_owner, ///< No owner is known at the moment; retry soon.
    };
    target_type target = target_type::no_owner;
    core::shard_id shard;
    core::endpoint peer;
    std::string reason;
};

/// The control state of one entry host and all decisions on it, without threads or message encodings.
///
/// The current time is passed to every call. Orders are issued through host_hooks, and replies come back
/// through the on_... functions. Owned by the entry host; called by the control thread only.
class host_control {
public:
    host_control(host_control_options options, host_hooks hooks);
    ~host_control() = default;
    host_control(const host_control&) = delete;
    host_control& operator=(const host_control&) = delete;

    /// Performs all work that is due. Must be called at least every `control_thread_options::tick_interval`.
    void tick(core::steady_time now);

    // Replies to orders issued through the hooks.
    void on_append(const core::stream_id& stream, core::sequence_number sequence,
                   const external::append_reply& reply, core::steady_time now);
    void on_read(const core::stream_id& stream, core::log_offset from, const external::read_reply& reply,
                 core::steady_time now);
    void on_lease(const lease_order& order, const external::lease_reply& reply, core::steady_time now);
    void on_start(const start_order& order, const external::start_reply& reply, core::steady_time now);
    void on_moved(const move_order& order, bool taken, core::steady_time now);
    void on_fleet(const external::fleet_list& list, core::steady_time now);
    void on_view(const cell::peer_view& view, core::steady_time now);
    void on_config_copy(const cell::config_copy& copy, core::steady_time now);

    // Calls by callers and peers.
    /// @return where to send calls about the job: the owner of the shard that its key hashes to.
    [[nodiscard]] job_route route(const core::job_id& job, core::steady_time now) const;
    /// @return where the owner of the shard is.
    [[nodiscard]] job_route route_to(core::shard_id shard, core::steady_time now) const;
    void submit(core::shard_id shard, const core::job_spec& spec, core::system_time accepted_at, bool moved,
                core::steady_time now, owner_responder respond);
    void status(core::shard_id shard, const core::job_id& job, core::steady_time now,
                const owner_responder& respond) const;
    void cancel(core::shard_id shard, const core::job_id& job, core::steady_time now,
                const owner_responder& respond);
    void explain(core::shard_id shard, const core::job_id& job, core::steady_time now,
                 const owner_responder& respond) const;
    void record_quick_intent(core::shard_id shard, const core::job_spec& spec, core::steady_time now,
                             const owner_responder& respond);
    void record_quick_outcome(core::shard_id shard, const core::job_id& job, core::outcome result,
                              const std::string& reason, std::function<void()> recorded);

    /// Finds a slot for a quick request: first on this host's shards, else at the better of two randomly
    /// selected shards of other hosts.
    /// @param limit how long the caller waits.
    /// @param attempt_limit how long the request may use the slot, capped by the caller's limit.
    /// @param respond called once, when a slot is found or it is certain that none will be free in time.
    void reserve(const core::quick_request& request, core::milliseconds limit,
                 core::milliseconds attempt_limit, core::steady_time now, quick_responder respond);
    /// Processes the answer of the owner that reserve() named for the request.
    void on_peer_slot(core::shard_id shard, const core::service_id& service, bool refused,
                      core::steady_time now);
    /// Reserves a slot of one shard for a peer's request.
    /// @param caller the peer's incarnation, used for fairness between peers.
    /// @param limit how long the request may use the slot.
    /// @param wait how long to wait for a free slot.
    void reserve_for_peer(core::shard_id shard, const core::service_id& service,
                          const core::incarnation_id& caller, core::milliseconds limit,
                          core::milliseconds wait, core::steady_time now,
                          const std::function<void(cell::slot_grant)>& respond);
    void release_slot(core::shard_id shard, std::uint64_t grant, cell::slot_release how,
                      core::steady_time now);

    /// Submits a release note. Responds when it is in force on every live host, or when the limit has passed.
    void apply_note(const release::release_note& note, core::milliseconds limit, core::steady_time now,
                    std::function<void(core::note_answer)> respond);

    /// Starts to hand over all shards; has_left() reports when that is complete.
    void leave(core::steady_time now);
    /// @return whether every shard has been handed over.
    [[nodiscard]] bool has_left() const;
    /// @return whether callers may be sent to this host, which requires that the configuration has been read.
    [[nodiscard]] bool ready() const { return this->config.ready(); }

    [[nodiscard]] cell::peer_view view(core::steady_time now) const;
    [[nodiscard]] std::vector<core::host_status> hosts(core::steady_time now) const;
    [[nodiscard]] const ledger::config_state_machine& configuration() const { return this->config.state(); }
    [[nodiscard]] cell::config_copy copy_config() const { return this->config.copy(); }
    /// @return the maximum duration of a request of the pool.
    [[nodiscard]] core::milliseconds quick_limit(const core::pool_id& pool) const;
    [[nodiscard]] std::size_t owned_shards() const { return this->shards.owned_count(); }

private:
    /// @return the controller of a shard that this host owns; otherwise nullptr, after responding that this
    ///        host does not own the shard.
    [[nodiscard]] shard_controller* controller_or_refuse(core::shard_id shard,
                                                         const owner_responder& respond) const;
    [[nodiscard]] core::stream_id stream_of(core::shard_id shard) const;
    [[nodiscard]] config_replica_options config_options() const;
    [[nodiscard]] shard_ownership_options ownership_options();
    [[nodiscard]] shard_controller_options options_for(core::shard_id shard);
    [[nodiscard]] core::milliseconds longest_quick_limit() const;
    /// @return whether others may own this host's shards without its knowledge, because it was suspended or
    ///        is cut off.
    [[nodiscard]] bool may_have_lost_shards(core::steady_time now) const;
    [[nodiscard]] std::optional<std::string> never_fits(const core::job_spec& spec) const;
    void send_heartbeats(core::steady_time now);
    void assign_racks();
    void set_fleet_of(core::shard_id shard, shard_controller& controller, core::steady_time now);
    void set_fleet_of_all(core::steady_time now);
    void decide_ownership(core::steady_time now);
    void claim(core::shard_id shard);
    void check_reported_owners(const cell::peer_view& view);
    void check_isolation(core::steady_time now);
    void take_snapshot(core::steady_time now);

    host_control_options options;
    host_hooks hooks;
    cell::cell_layout layout;
    cell::membership members;
    config_replica config;
    fleet_map fleet;
    shard_table shards;
    resource_overview resources;
    shard_ownership ownership;
    quick_slots quick;
    note_applier notes;
    bool leaving = false;
    std::optional<core::steady_time> started;
    core::steady_time last_contact{}; ///< With the log or a peer.
    core::steady_time next_heartbeat{};
    core::steady_time next_fleet{};
    core::steady_time next_ownership{};
    core::steady_time current_time{}; ///< Time of the call in progress, for hooks that need it.
};

} // namespace rattanmount::control
