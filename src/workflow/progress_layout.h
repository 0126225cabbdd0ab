#pragma once

#include "workflow/records.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattanmount::workflow {

/// Longest checkpoint that a record of progress may hold. A longer one counts as none.
inline constexpr std::size_t max_checkpoint_bytes = 1024;

/// Divides the tasks of a job into the parts in which its progress is recorded.
///
/// The size of a record depends on a part only, not on the number of tasks and occurrences of the job. All
/// hosts divide a job in the same way, because the division depends on the accepted job only.
///
/// A value type.
class progress_layout {
public:
    /// Consecutive tasks of a step.
    struct task_range {
        std::uint32_t step = 0;
        std::uint32_t first = 0; ///< Index of the first task.
        std::uint32_t count = 0;

        friend bool operator==(const task_range&, const task_range&) = default;
    };

    explicit progress_layout(const job_accepted& job);

    /// @return the number of parts of one occurrence.
    [[nodiscard]] std::uint32_t parts() const;

    /// @param step a step.
    /// @param task the index of a task of it.
    /// @return the number of the part that holds the task.
    [[nodiscard]] std::uint32_t part_of(std::uint32_t step, std::uint32_t task) const;

    /// @param part the number of a part.
    /// @return the tasks that it holds, by step.
    [[nodiscard]] std::vector<task_range> ranges_of(std::uint32_t part) const;

private:
    std::uint32_t tasks_per_part;
    /// By step, the number of tasks of all earlier steps; at the end, the number of all tasks.
    std::vector<std::uint32_t> first_tasks;
};

} // namespace rattanmount::workflow
