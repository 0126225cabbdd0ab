#pragma once

#include "cell/worker_lease.h"
#include "control/attempt_starter.h"
#include "control/attempt_state.h"
#include "control/host_hooks.h"
#include "control/inventory_reader.h"
#include "control/job_state.h"
#include "control/runner_parts.h"
#include "control/shard_work.h"
#include "control/worker_leases.h"
#include "core/calls.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/time.h"
#include "external/fleet_service.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stream_session.h"
#include "scheduling/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::control {

struct job_runner_options {
    core::shard_id shard;
    cell::lease_options lease;
    scheduling::scheduler_options scheduling;
    /// Delay before a service task that ended is restarted; doubled on each restart.
    core::milliseconds service_backoff{1000};
    core::milliseconds service_backoff_limit{60000};
    std::size_t placements_per_tick = 500;
};

/// Runs the jobs of one shard that this entry host owns: places tasks, starts them under their workers'
/// leases, processes their ends and writes the records.
///
/// Created when the shard's claim has succeeded and destroyed when the shard is lost or released. Until this
/// host has acquired every worker's lease, it starts no task that the former owner may have started. Owned by
/// shard_controller; used by the control thread only.
class job_runner {
public:
    /// @param hooks execute its orders; must outlive this object.
    /// @param fold the shard's state machine, which holds its recorded state; must outlive this object.
    /// @param session appends the records; must outlive this object.
    job_runner(job_runner_options options, const host_hooks& hooks, const ledger::shard_state_machine& fold,
               ledger::stream_session& session);
    ~job_runner() = default;
    job_runner(const job_runner&) = delete;
    job_runner& operator=(const job_runner&) = delete;

    /// Adopts the recorded jobs. Called once, when the claim has succeeded.
    void begin(core::steady_time now);

    /// Replaces the shard's workers with those of the fleet list. A worker that is no longer listed and has
    /// no lease from this host has no tasks any more.
    void set_workers(const std::vector<external::listed_worker>& listed, core::steady_time now);

    /// Renews leases, sends due starts and places tasks. Must be called at least every
    /// `control_thread_options::tick_interval`.
    void tick(core::steady_time now);

    /// Adds a job that has just been recorded as accepted.
    void on_accepted(const core::job_spec& spec, core::steady_time now);

    /// Cancels a job and writes the records.
    /// @param job must not have ended.
    /// @param settled called when it is known whether the record was stored.
    void cancel(const core::job_id& job, core::steady_time now,
                std::function<void(ledger::record_outcome)> settled);

    void on_lease(const core::worker_id& worker, const external::lease_reply& reply, core::steady_time sent,
                  core::steady_time now);
    void on_start(const core::attempt_id& attempt, const external::start_reply& reply,
                  core::steady_time now) {
        this->starter.on_reply(attempt, reply, now);
    }

    /// @return whether every worker's lease has been acquired, so that any task may be started.
    [[nodiscard]] bool takeover_complete() const { return this->taken_over; }

    /// Stops starting tasks; running tasks continue.
    void stop_placing() { this->placing = false; }

    /// @return whether no start is in flight, so that the shard may be released.
    [[nodiscard]] bool is_quiescent() const;

    /// Releases all leases, so that the next owner need not wait until they expire.
    void release_leases(core::steady_time now) { this->leases.release_all(now); }

    /// @return why no worker of the shard can ever run the job's tasks; empty if one can.
    [[nodiscard]] std::optional<std::string> never_fits(const core::job_spec& spec) const;

    [[nodiscard]] std::vector<std::string> explain(const core::job_id& job, core::steady_time now) const;
    [[nodiscard]] const scheduling::scheduler& scheduler() const { return this->job_scheduler; }
    /// @return the waiting jobs that may be moved to another shard.
    [[nodiscard]] std::vector<core::job_id> movable(core::steady_time now, core::milliseconds waited) const;
    /// Removes a job that was moved to another shard.
    void remove_job(const core::job_id& job);
    [[nodiscard]] const job_state* find(const core::job_id& job) const;

private:
    void place(core::steady_time now);
    void renew_leases(core::steady_time now);
    void check_taken_over(core::steady_time now);
    void admit(job_state& job);
    void mark_tasks_ended(leased_worker& worker, core::steady_time now);
    void end_attempt(const ended_attempt& ended, core::steady_time now);
    void apply_attempt_end(job_state& job, std::uint32_t task, core::attempt_end end,
                           const std::string& reason, core::steady_time now);
    void retry(job_state& job, std::uint32_t task, core::steady_time now);
    void restart_gang(job_state& job, core::steady_time now);
    void end_job(job_state& job, core::outcome result, const std::string& reason, core::steady_time now);
    void stop_all(job_state& job, core::steady_time now);
    void preempt(core::steady_time now);
    [[nodiscard]] core::system_time wall_time() const { return this->hooks.wall_time(); }

    job_runner_options options;
    const host_hooks& hooks;
    const ledger::shard_state_machine& fold;
    ledger::stream_session& session;
    scheduling::scheduler job_scheduler;
    shard_work work;
    worker_leases leases;
    runner_parts parts;
    attempt_starter starter;
    inventory_reader inventories;
    std::set<core::job_id>
        held_until_takeover;               ///< Jobs that the former owner may have started without a record.
    std::set<core::job_id> oversized_jobs; ///< Jobs whose tasks are too large for every worker of the shard.
    std::map<core::job_id, std::set<std::uint32_t>> backing_off;
    bool fleet_known = false;
    bool taken_over = false;
    bool placing = true;
    /// Hooks that may be called after this object is destroyed hold a weak reference to it.
    std::shared_ptr<bool> lifetime_token = std::make_shared<bool>(true);
};

} // namespace rattanmount::control
