#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "workflow/records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace rattanmount::dispatch {

/// Progress to be written to the log, and the ends of runs that are acknowledged once it is stored.
struct progress_batch {
    core::epoch_id epoch; ///< Epoch of the leader that made the batch.
    /// To be stored in this order; not necessarily together.
    std::vector<workflow::cell_record> records;
    /// Per worker, its incarnation and the highest end that it may discard.
    std::map<core::worker_id, std::pair<worker_incarnation_id, std::uint64_t>> ends;
    /// Workers that drained when the batch was made, with the number of times that they had begun to.
    std::map<core::worker_id, std::uint32_t> draining;
};

/// Makes batches of records from the progress of the jobs, one batch at a time, and notes which ends of runs
/// may be acknowledged once their effects are stored.
///
/// Owned by the dispatcher; used by the control thread only.
class progress_recorder {
public:
    explicit progress_recorder(dispatch_state& state) : state(state) {}

    /// Called when this host stops leading.
    void reset();

    /// @param now the current time.
    /// @return the progress to record now, if any; no further batch until recorded() or rejected() is called.
    [[nodiscard]] std::optional<progress_batch> take(core::steady_time now);

    /// Called when all records of a batch are in the log.
    void recorded(const progress_batch& batch);

    /// Called when the log has rejected a record of a batch. All progress is recorded again after a pause; no
    /// end is acknowledged until then.
    void rejected(const progress_batch& batch, core::steady_time now);

    /// Removes the ended jobs of which nothing runs and whose progress has been taken; the next batch closes
    /// them.
    void close_ended_jobs();

private:
    /// Notes which runs the log has, so that further ones may be numbered.
    void runs_recorded(const workflow::job_key& job, const std::vector<workflow::step_progress>& steps);
    void add_closed_jobs(progress_batch& batch);

    dispatch_state& state;
    bool in_flight = false;
    core::steady_time taken_at;     ///< When the last batch was taken.
    core::steady_time paused_until; ///< After a rejection, no batch is taken until then.
};

} // namespace rattanmount::dispatch
