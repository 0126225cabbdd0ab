#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/hold_pace.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_lifecycle.h"

#include <vector>

namespace rattanmount::dispatch {

/// Sends holds to the workers, which renew their leases, and applies the runs that they report.
///
/// At most one hold per worker is in flight; it waits at the worker until a run ends (long poll). A hold
/// extends the lease only if the previous one was answered, so that the lease of an unreachable worker
/// expires within a known time. The runs are given up only after a further hold, sent after the expiry, has
/// failed as well: a busy host may have lost an answer that reported their ends. Holds to workers that have
/// not answered the last one, as all of them at a takeover, are spread over time.
///
/// A worker that leaves out ends of an answer is asked again as soon as the log has those that it listed.
/// Owned by the dispatcher; used by the control thread only.
class lease_manager {
public:
    lease_manager(dispatch_state& state, run_manager& runs, task_lifecycle& flow)
        : state(state), runs(runs), lifecycle(flow) {}

    /// Sends the holds that are due and gives up runs whose lease has certainly expired.
    void tick(core::steady_time now);

    /// Applies the answer to a hold.
    /// @param order the hold.
    /// @param reply the answer.
    /// @param now the current time.
    void on_reply(const hold_order& order, const hold_reply& reply, core::steady_time now);

    /// @return when tick() has to be called at the latest.
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

private:
    void update_suspected_workers(core::steady_time now);
    void send(worker_state& worker, core::steady_time now);
    /// Sends holds to workers that have not answered the last one, those that are due longest first.
    void send_in_turn(std::vector<worker_state*> unknown, core::steady_time now);
    /// @return how long a worker may hold back its answer to the next hold.
    [[nodiscard]] core::milliseconds hold_wait(const worker_state& worker, core::steady_time now) const;
    void on_unanswered(worker_state& worker, core::steady_time now);
    void begin_incarnation(worker_state& worker, worker_incarnation_id incarnation, core::steady_time now);
    /// Applies the runs and ends that an answer lists.
    void apply_inventory(worker_state& worker, const hold_order& order, const hold_reply& reply,
                         core::steady_time now);
    void apply_running(worker_state& worker, const reported_run& row, core::steady_time now);
    void remove_missing_runs(worker_state& worker, core::steady_time now);
    /// Applies an end that has not been applied before, or keeps it until its task is known.
    void apply_end(worker_state& worker, const reported_end& end, core::steady_time now);
    /// Applies kept ends whose tasks are now known, and drops those whose tasks do not exist.
    void resolve_unknown_ends(worker_state& worker, core::steady_time now);
    void give_up_runs(worker_state& worker, core::steady_time now);
    /// Called when the runs of a former leader on a worker are known or have ended: tasks that the log has
    /// there and that have not been found there may be started elsewhere.
    void clear_recorded_tasks(const core::worker_id& worker);
    /// @return when the next hold is due after an answer.
    [[nodiscard]] core::steady_time next_hold_after(const hold_order& order, const worker_state& worker,
                                                    core::steady_time now) const;
    /// @return whether a run has certainly ended once the lease of its worker has expired.
    [[nodiscard]] bool certainly_ended(const worker_state& worker, const workflow::run_name& name,
                                       core::steady_time now) const;
    /// @return whether a worker has restarted and may have runs under a lease that was meant for an earlier
    /// incarnation, so that it must not be forgotten.
    [[nodiscard]] bool awaits_foreign_lease(const worker_state& worker, core::steady_time now) const;
    /// @return whether all runs under the worker's lease have certainly ended.
    [[nodiscard]] bool runs_certainly_ended(const worker_state& worker, core::steady_time now) const;
    [[nodiscard]] bool lease_expired(const worker_state& worker, core::steady_time now) const;

    dispatch_state& state;
    run_manager& runs;
    task_lifecycle& lifecycle;
    hold_pace pace;
};

} // namespace rattanmount::dispatch
