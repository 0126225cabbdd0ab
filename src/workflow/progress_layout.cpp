#include "workflow/progress_layout.h"

#include <algorithm>

namespace rattanmount::workflow {

namespace {

/// Size that the record of a part does not exceed.
constexpr std::size_t max_part_bytes = 196608;
/// Size that the names and ranges of all steps of a part do not exceed.
constexpr std::size_t max_header_bytes = 4096;
/// Longest name of a worker.
constexpr std::size_t max_worker_bytes = 255;
/// Size that the numbers and field headers of one task, without its failed runs, do not exceed.
constexpr std::size_t max_number_bytes = 32;
/// Size that one run number does not exceed.
constexpr std::size_t max_run_bytes = 5;

std::uint32_t tasks_per_part_of(const queue_policy& policy) {
    const auto task_bytes = max_number_bytes + max_worker_bytes + max_checkpoint_bytes +
                            std::size_t{policy.max_attempts} * max_run_bytes;
    return static_cast<std::uint32_t>(
        std::max<std::size_t>((max_part_bytes - max_header_bytes) / task_bytes, 1));
}

} // namespace

progress_layout::progress_layout(const job_accepted& job) : tasks_per_part(tasks_per_part_of(job.policy)) {
    this->first_tasks.push_back(0);
    for (const auto& step : job.request.steps) {
        this->first_tasks.push_back(this->first_tasks.back() + step.tasks);
    }
}

std::uint32_t progress_layout::parts() const {
    return (this->first_tasks.back() + this->tasks_per_part - 1) / this->tasks_per_part;
}

std::uint32_t progress_layout::part_of(std::uint32_t step, std::uint32_t task) const {
    return (this->first_tasks[step] + task) / this->tasks_per_part;
}

std::vector<progress_layout::task_range> progress_layout::ranges_of(std::uint32_t part) const {
    const auto begin = part * this->tasks_per_part;
    const auto end = begin + this->tasks_per_part;
    std::vector<task_range> ranges;
    for (std::uint32_t step = 0; step + 1 < this->first_tasks.size(); step++) {
        const auto first = std::max(begin, this->first_tasks[step]);
        const auto last = std::min(end, this->first_tasks[step + 1]);
        if (first < last) {
            ranges.push_back({.step = step, .first = first - this->first_tasks[step], .count = last - first});
        }
    }
    return ranges;
}

} // namespace rattanmount::workflow
