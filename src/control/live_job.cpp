#include "control/live_job.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::control {

live_job live_job::from_record(const ledger::job_entry& entry, core::steady_time now) {
    live_job job{.spec = entry.spec, .waiting_since = now, .cancelled = entry.cancelled};
    for (const auto& task : entry.tasks) {
        job.tasks.push_back(live_task{.phase = task.phase,
                                      .attempt = task.attempt,
                                      .failures = task.failures,
                                      .last_end = task.last_end});
        job.ever_sent = job.ever_sent || task.attempt > 0;
    }
    job.ending = entry.ended;
    return job;
}

std::vector<std::uint32_t> live_job::waiting_tasks() const {
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t index = 0; index < this->tasks.size(); ++index) {
        if (this->tasks[index].phase == core::task_phase::waiting) {
            waiting.push_back(index);
        }
    }
    return waiting;
}

bool live_job::anything_running() const {
    return std::ranges::any_of(this->tasks,
                               [](const auto& task) { return task.phase == core::task_phase::started; });
}

bool live_job::all_ended() const {
    return std::ranges::all_of(this->tasks,
                               [](const auto& task) { return task.phase == core::task_phase::ended; });
}

core::attempt_id live_job::attempt_of(std::uint32_t task) const {
    assert(task < this->tasks.size());
    return {.job = this->spec.id, .task = task, .attempt = this->tasks[task].attempt};
}

} // namespace rattanmount::control
