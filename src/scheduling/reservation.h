#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/allocation.h"

#include <optional>
#include <vector>

namespace rattanmount::scheduling {

/// Room that is kept for a job which fits nowhere yet, from the time at which it will fit by the estimates.
struct reservation {
    core::job_id job;
    std::size_t tasks = 0;
    core::resources size;
    core::steady_time computed_at;
    std::optional<core::steady_time> start_at; ///< Empty where the estimates name no time.
    /// By row: what is free beside the job's tasks from `at` on; empty where nothing is reserved.
    std::vector<std::optional<core::resources>> spare;
    std::vector<row_index> rows; ///< Where its tasks are to run.

    /// @param row a worker.
    /// @param room what is free on it now.
    /// @param end when the other task will be over by the estimates; empty: not known.
    /// @return how much of the room another task may take without delaying the job.
    [[nodiscard]] core::resources
    available_to_others(row_index row, const core::resources& free,
                        const std::optional<core::steady_time>& estimated_end) const;

    /// Counts another task that was placed.
    void charge(const allocation& alloc, const std::optional<core::steady_time>& estimated_end);
};

} // namespace rattanmount::scheduling
