#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "dispatch/moving_median.h"
#include "dispatch/worker_state.h"
#include "workflow/job_request.h"

#include <unordered_map>

namespace rattanmount::dispatch {

/// A run that has ended well, as `worker_speeds` learns from it.
struct timed_run {
    core::milliseconds taken{0};    ///< From the answer to its start until its end was listed.
    core::milliseconds expected{0}; ///< What it should have taken on a worker of usual speed.
};

/// Learns from the run times of ended tasks how fast each worker is, and how far the estimates of each queue
/// are off.
///
/// The factor of a worker is the moving median of the ratios of taken to expected time, so that single tasks
/// that take many times as long, or estimates that are wrong, hardly change it. A worker of which little is
/// known has the factor of its kind. Factors close to 1 count as 1, so that a cell whose workers are alike is
/// placed as if nothing had been learned. The state is bounded by the listed workers, their kinds and the
/// queues; a new leader learns it anew from the runs that end. Part of dispatch_state; used by the control
/// thread only.
class worker_speeds {
public:
    /// Adds a run that has ended well on a worker.
    /// @param worker the worker.
    /// @param run the run; `expected` is its time on a worker of usual speed.
    void add(const worker_entry& worker, const timed_run& run);

    /// Adds a run that has ended well to what is known of the estimates of its queue.
    /// @param queue the queue of its job.
    /// @param run the run; `expected` is its estimate.
    /// @param factor the factor of its worker.
    void add_estimate(const workflow::queue_id& queue, const timed_run& run, double factor);

    /// @param worker a worker.
    /// @return how many times as long as usual a task takes there; 1 if nothing is known.
    [[nodiscard]] double factor_of(const worker_entry& worker) const;

    /// @param queue a queue.
    /// @return how many times as long as estimated its tasks take on a worker of usual speed; 1 if nothing is
    /// known.
    [[nodiscard]] double estimate_ratio(const workflow::queue_id& queue) const;

    /// Forgets a worker that has left or is of another kind now.
    void forget(const core::worker_id& worker) { this->workers.erase(worker); }

    /// Forgets everything.
    void reset();

private:
    /// Medians of ratios.
    std::unordered_map<core::worker_id, moving_median> workers;
    std::unordered_map<workflow::worker_label, moving_median> kinds;
    std::unordered_map<workflow::queue_id, moving_median> queues;
};

} // namespace rattanmount::dispatch
