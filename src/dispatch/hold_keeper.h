#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/run_book.h"
#include "dispatch/task_flow.h"

namespace rattanmount::dispatch {

/// Keeps the leases of the workers and takes what they say of their runs.
///
/// Each worker has one hold out at a time, which waits at the worker for an end. A hold extends the lease
/// only while the one before was answered, so that the lease of a worker that is cut off lapses in a known
/// time. Runs are given up only after a hold that was sent after that has failed too: an answer that was lost
/// here, on a busy host, may have told of their ends. Owned by the dispatcher; the control thread only.
class hold_keeper {
public:
    hold_keeper(dispatch_state& state, run_book& runs, task_flow& flow)
        : state(state), runs(runs), flow(flow) {}

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
    void suspect_faulty(core::steady_time now);
    void send(worker_state& worker, core::steady_time now);
    void unanswered(worker_state& worker, core::steady_time now);
    void begin_life(worker_state& worker, life_id life, core::steady_time now);
    void take_running(worker_state& worker, const running_row& row, core::steady_time now);
    void take_missing(worker_state& worker, core::steady_time now);
    void give_up_runs(worker_state& worker, core::steady_time now);
    void forget_records_of(const core::worker_id& worker);
    /// @return whether all that ran under the worker's lease has surely ended.
    [[nodiscard]] bool lapsed(const worker_state& worker, core::steady_time now) const;
    [[nodiscard]] bool lease_over(const worker_state& worker, core::steady_time now) const;

    dispatch_state& state;
    run_book& runs;
    task_flow& flow;
};

} // namespace rattanmount::dispatch
