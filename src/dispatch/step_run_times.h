#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <vector>

namespace rattanmount::dispatch {

/// How long the tasks of one step have taken.
///
/// They run the same program on similar work, so they show better than an estimate which workers are slow and
/// which runs take too long. They are collected in batches, which are passed to `worker_speeds`. The usual
/// time is the median of the present batch, or of the one before while the present one is too small. A value
/// type.
class step_run_times {
public:
    /// A run that has ended well.
    struct entry {
        core::worker_id worker;
        core::milliseconds taken{0};
        double factor = 1; ///< Of the worker, when the run ended.
    };

    /// Adds a run that has ended well.
    void add(const entry& run);

    /// @return how long a task takes on a worker of usual speed; 0 if too few have ended.
    [[nodiscard]] core::milliseconds usual_time() const;

    /// @return whether so many runs are collected that they should be taken before the step is complete.
    [[nodiscard]] bool has_batch() const;

    /// @return the collected runs, which are removed.
    [[nodiscard]] std::vector<entry> take_batch();

private:
    std::vector<entry> batch;
    core::milliseconds usual{0};
};

} // namespace rattanmount::dispatch
