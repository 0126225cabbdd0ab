#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_lifecycle.h"

namespace rattanmount::dispatch {

/// Keeps the leases of the workers and takes what they say of their runs.
///
/// Each worker has one hold out at a time, which waits at the worker for an end. A hold extends the lease
/// only while the one before was answered, so that the lease of a worker that is cut off lapses in a known
/// time. Runs are given up only after a hold that was sent after that has failed too: an answer that was lost
/// here, on a busy host, may have told of their ends. Owned by the dispatcher; the control thread only.
class lease_manager {
public:
    lease_manager(dispatch_state& state, run_manager& runs, task_lifecycle& flow)
        : state(state), runs(runs), lifecycle(flow) {}

    /// Sends the holds that are due and gives up the runs whose lease has surely lapsed.
    void tick(core::steady_time now);

    /// Takes the answer to a hold.
    /// @param order the hold.
    /// @param reply the answer.
    /// @param now the time.
    void on_reply(const hold_order& order, const hold_reply& reply, core::steady_time now);

    /// @return when the next hold or lapse is due at the latest.
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

private:
    void update_suspected_workers(core::steady_time now);
    void send(worker_state& worker, core::steady_time now);
    void on_unanswered(worker_state& worker, core::steady_time now);
    void begin_incarnation(worker_state& worker, life_id life, core::steady_time now);
    void apply_running(worker_state& worker, const running_row& row, core::steady_time now);
    void remove_missing_runs(worker_state& worker, core::steady_time now);
    void give_up_runs(worker_state& worker, core::steady_time now);
    void clear_recorded_worker(const core::worker_id& worker);
    /// @return whether all that ran under the worker's lease has surely ended.
    [[nodiscard]] bool runs_surely_ended(const worker_state& worker, core::steady_time now) const;
    [[nodiscard]] bool lease_expired(const worker_state& worker, core::steady_time now) const;

    dispatch_state& state;
    run_manager& runs;
    task_lifecycle& lifecycle;
};

} // namespace rattanmount::dispatch
