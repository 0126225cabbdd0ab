#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/allocation.h"

#include <optional>
#include <vector>

namespace rattanmount::scheduling {

/// Capacity reserved for a job that fits on no worker yet, from the estimated time at which it will fit.
struct reservation {
    core::job_id job;
    std::size_t tasks = 0;
    core::resources size;
    core::steady_time computed_at;
    /// Estimated start of the job; empty if the estimates give none.
    std::optional<core::steady_time> start_at;
    /// Per row: free after subtracting the job's tasks, from `start_at` on; empty if nothing is reserved on
    /// the worker.
    std::vector<std::optional<core::resources>> spare;
    std::vector<row_index> rows; ///< The row of each of the job's tasks.

    /// @param row the worker.
    /// @param free the free resources of the worker now.
    /// @param estimated_end estimated end of a task of another job; empty if not known.
    /// @return how much of `free` that task may take without delaying the reserved job.
    [[nodiscard]] core::resources
    available_to_others(row_index row, const core::resources& free,
                        const std::optional<core::steady_time>& estimated_end) const;

    /// Deducts a task of another job that was placed.
    void charge(const allocation& alloc, const std::optional<core::steady_time>& estimated_end);
};

} // namespace rattanmount::scheduling
