#pragma once

#include "cell/peer_calls.h"
#include "control/host_hooks.h"
#include "control/job_mover.h"
#include "control/job_runner.h"
#include "control/stream_driver.h"
#include "core/calls.h"
#include "core/ids.h"
#include "core/time.h"
#include "external/fleet_service.h"
#include "external/log_service.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stream_session.h"
#include "routing/slot_table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanmount::control {

/// State of a shard on this entry host.
enum class shard_phase : std::uint8_t {
    reading,     ///< Reads the shard's stream to learn its owner.
    claiming,    ///< Has appended a claim whose result is not known yet.
    taking_over, ///< Owns the shard and is acquiring its workers' leases.
    serving,     ///< Owns the shard and has acquired all of its workers' leases.
    releasing,   ///< Starts nothing new and hands the shard over.
    released,    ///< Has handed the shard over; the controller may be destroyed.
};

/// Answers a call about a job. Called once, by the control thread.
using owner_responder = std::function<void(cell::owner_answer)>;

struct shard_controller_options {
    core::shard_id shard;
    core::host_id host;
    core::incarnation_id incarnation;
    ledger::session_options session; ///< `apply` and `reset` are set by the controller.
    job_runner_options runner;
    routing::slot_table_options slots;
    /// How long the outcome of an ended job can be queried.
    core::milliseconds keep_outcomes{24 * 3600 * 1000};
    /// Time after which all requests of a former owner are over.
    core::milliseconds longest_quick_limit{5000};
    std::uint32_t queue_limit = 20000; ///< Maximum number of the shard's jobs that have not ended.
    core::milliseconds move_after{5000};
    core::milliseconds snapshot_interval{6 * 3600 * 1000}; ///< Must be well below the log's retention.
    /// Returns whether the shard may be taken from the recorded owner, because that host is no longer heard
    /// or no longer lists the shard.
    std::function<bool(const ledger::shard_owner&)> can_take_over;
    /// Returns why no worker of the whole region can ever run a task of the job; empty if one can.
    std::function<std::optional<std::string>(const core::job_spec&)> never_fits;
    /// Returns the shard, possibly this one, with the most free room for the job among those whose owner
    /// reports room.
    std::function<std::optional<core::shard_id>(const core::job_spec&)> shard_with_room;
    /// Returns the shard that a job's key hashes to.
    std::function<core::shard_id(const core::job_id&)> home_shard_of;
    /// Returns the inner protocol address of a shard's owner, if it is known.
    std::function<std::optional<core::endpoint>(core::shard_id)> owner_of;
};

/// Manages one shard on behalf of an entry host that owns it or wants to own it: reads its stream, claims it,
/// runs its jobs, answers calls about them, and hands it over.
///
/// Destroyed after the shard was released, or if this host has lost contact to the log and to all peers.
/// Owned by shard_table; used by the control thread only.
class shard_controller {
public:
    /// @param hooks execute its orders; must outlive this object.
    shard_controller(shard_controller_options options, const host_hooks& hooks);
    ~shard_controller();
    shard_controller(const shard_controller&) = delete;
    shard_controller& operator=(const shard_controller&) = delete;

    void tick(core::steady_time now);
    void set_fleet(const std::vector<external::listed_worker>& workers,
                   const std::vector<routing::executor_info>& executors, core::steady_time now);

    void on_append(core::sequence_number sequence, const external::append_reply& reply,
                   core::steady_time now);
    void on_read(core::log_offset from, const external::read_reply& reply, core::steady_time now);
    void on_lease(const core::worker_id& worker, const external::lease_reply& reply, core::steady_time sent,
                  core::steady_time now);
    void on_start(const core::attempt_id& attempt, const external::start_reply& reply, core::steady_time now);
    /// Processes the answer of the owner that a job was moved to.
    void on_moved(const core::job_id& job, bool taken) { this->mover.on_moved(job, taken); }

    void submit(const core::job_spec& spec, core::system_time accepted_at, core::steady_time now,
                owner_responder respond);
    void status(const core::job_id& job, core::steady_time now, const owner_responder& respond) const;
    void cancel(const core::job_id& job, core::steady_time now, const owner_responder& respond);
    void explain(const core::job_id& job, core::steady_time now, const owner_responder& respond) const;

    /// Records that a non-idempotent quick request is about to be sent.
    /// @param respond called once: with `accepted` if this call may send the request, with `ended` or
    ///        `unsettled` if an earlier call did.
    void record_quick_intent(const core::job_spec& spec, const std::string& place, core::steady_time now,
                             const owner_responder& respond);
    /// Records the outcome of the request.
    void record_quick_outcome(const core::job_id& job, core::outcome result, const std::string& reason,
                              std::function<void()> recorded);

    /// Hands the shard over; phase() becomes `released` when that is complete.
    void release(core::steady_time now);

    /// Called when a peer reports owning the shard. A newer epoch than the recorded one ends this host's
    /// ownership.
    void on_reported_owner(core::epoch_id epoch);

    [[nodiscard]] shard_phase phase() const { return this->current_phase; }
    [[nodiscard]] bool owned() const;
    [[nodiscard]] core::epoch_id epoch() const { return this->fold.epoch(); }
    [[nodiscard]] bool log_available() const { return this->session.log_available(); }
    [[nodiscard]] const core::stream_id& stream() const { return this->options.session.stream; }
    /// @return the number of the next batch that this incarnation appends to the shard's stream.
    [[nodiscard]] core::sequence_number next_sequence() const { return this->session.next_sequence(); }
    [[nodiscard]] const job_runner* runner() const { return this->active_runner.get(); }
    [[nodiscard]] const ledger::shard_state_machine& recorded() const { return this->fold; }
    [[nodiscard]] routing::slot_table& slots() { return this->shard_slots; }
    [[nodiscard]] cell::shard_view view(core::steady_time now) const;

private:
    bool apply(core::log_offset offset, const ledger::record_batch& batch);
    void claim(core::steady_time now);
    void check_owner();
    void take_ownership(core::steady_time now);
    void drop_ownership();
    void finish_release(core::steady_time now);
    void end_orphaned_quick_requests();
    void run_maintenance(core::steady_time now);
    void accept(const core::job_spec& spec, core::system_time accepted_at, core::steady_time now,
                owner_responder respond);
    [[nodiscard]] cell::owner_answer answer_for(const ledger::job_entry& entry, core::steady_time now) const;
    [[nodiscard]] std::optional<cell::owner_answer> refusal_for(const core::job_spec& spec) const;
    void report_event(telemetry::event_kind kind, const std::string& detail) const;

    shard_controller_options options;
    const host_hooks& hooks;
    ledger::shard_state_machine fold;
    ledger::stream_session session;
    stream_driver driver;
    job_mover mover;
    shard_phase current_phase = shard_phase::reading;
    std::unique_ptr<job_runner> active_runner;
    routing::slot_table shard_slots;
    std::vector<external::listed_worker> workers;
    bool fleet_known = false;
    /// Submissions whose record is in flight, with the responders of all callers that wait for them.
    struct pending_accept {
        core::job_spec spec;
        std::vector<owner_responder> responders;
    };
    std::unordered_map<core::job_id, pending_accept> pending_accepts;
    core::steady_time next_claim{};
    bool released_by_former_owner = false; ///< The former owner had released the shard before it was claimed.
    /// On the next tick, start the hold of all slots that a former owner may still be using.
    bool hold_pending = false;
    bool release_recorded = false;
    bool release_queued = false;
    core::steady_time last_maintenance{};
};

} // namespace rattanmount::control
