#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "dispatch/worker_state.h"
#include "workflow/job_request.h"

#include <map>
#include <set>

namespace rattanmount::dispatch {

/// A run that has ended well, as `worker_speeds` learns from it.
struct timed_run {
    core::milliseconds taken{0};    ///< From the answer to its start until its end was listed.
    core::milliseconds expected{0}; ///< What it should have taken on a worker of usual speed.
};

/// Learns how fast each worker is from the run times of tasks that have ended on it.
///
/// The factor of a worker is a moving median of the ratios of taken to expected time, so that single tasks
/// that take many times as long, or estimates that are wrong, hardly change it. A worker of which little is
/// known has the factor of its kind. Factors close to 1 count as 1, so that a cell whose workers are alike is
/// placed as if nothing had been learned. The state is bounded by the listed workers and their kinds; a new
/// leader learns it anew from the runs that end. Part of dispatch_state; used by the control thread only.
class worker_speeds {
public:
    /// Adds a run that has ended well on a worker.
    void add(const worker_entry& worker, const timed_run& run, core::steady_time now);

    /// @param worker a worker.
    /// @return how many times as long as usual a task takes there; 1 if nothing is known.
    [[nodiscard]] double factor_of(const worker_entry& worker) const;

    /// Forgets the workers that are not among the given ones.
    void keep_only(const std::set<core::worker_id>& workers);

    /// Forgets everything.
    void reset();

private:
    /// A moving median of the logarithms of ratios.
    struct estimate {
        double log_ratio = 0;
        double weight = 0; ///< Number of runs it rests on, up to a limit.
    };

    static void move(estimate& one, double log_ratio);

    std::map<core::worker_id, estimate> workers;
    std::map<workflow::worker_label, estimate> kinds;
};

} // namespace rattanmount::dispatch
