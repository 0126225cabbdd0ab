#include "control/job_state.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::control {

job_state job_state::from_record(const ledger::job_entry& entry, core::steady_time now) {
    job_state job{.spec = entry.spec, .waiting_since = now, .cancelled = entry.cancelled};
    for (const auto& task : entry.tasks) {
        job.tasks.push_back(task_state{.phase = task.phase,
                                       .attempt = task.attempt,
                                       .failures = task.failures,
                                       .last_end = task.last_end});
        job.may_have_started = job.may_have_started || task.attempt > 0;
    }
    job.decided_outcome = entry.ended;
    return job;
}

std::vector<std::uint32_t> job_state::waiting_tasks() const {
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t index = 0; index < this->tasks.size(); ++index) {
        if (this->tasks[index].phase == core::task_phase::waiting) {
            waiting.push_back(index);
        }
    }
    return waiting;
}

bool job_state::has_attempts() const {
    return std::ranges::any_of(this->tasks, [](const auto& task) { return task.attempt > 0; });
}

bool job_state::has_running_tasks() const {
    return std::ranges::any_of(this->tasks,
                               [](const auto& task) { return task.phase == core::task_phase::started; });
}

bool job_state::all_ended() const {
    return std::ranges::all_of(this->tasks,
                               [](const auto& task) { return task.phase == core::task_phase::ended; });
}

core::attempt_id job_state::attempt_of(std::uint32_t task) const {
    assert(task < this->tasks.size());
    return {.job = this->spec.id, .task = task, .attempt = this->tasks[task].attempt};
}

} // namespace rattanmount::control
