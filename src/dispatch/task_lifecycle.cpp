#include "dispatch/task_lifecycle.h"

#include "telemetry/logging.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

bool all_done(const live_occurrence& occurrence, const std::vector<std::uint32_t>& steps) {
    return std::all_of(steps.begin(), steps.end(),
                       [&](std::uint32_t step) { return occurrence.steps[step].complete(); });
}

} // namespace

void task_lifecycle::queue_unblocked_steps(live_job& job, std::uint32_t occurrence, core::steady_time now) {
    auto& place = job.occurrences.at(occurrence);
    for (auto& step : place.steps) {
        if (step.ready || step.complete() || !all_done(place, step.request->after)) {
            continue;
        }
        step.ready = true;
        for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
            this->requeue(step, i, now);
        }
    }
}

void task_lifecycle::run_ended(worker_state& worker, const reported_end& end, core::steady_time now) {
    const auto& name = end.run.task;
    auto* step = this->state.find_step(name.step);
    if (step == nullptr || name.index >= step->tasks.size()) {
        return;
    }
    auto& task = step->tasks[name.index];
    const auto* run = run_manager::find_run_on(task, end.run.run, worker.entry.worker);
    const bool tracked = run != nullptr;
    const bool runs_elsewhere = !tracked && run_manager::find_run(task, end.run.run) != nullptr;
    const bool finishes = end.outcome == run_outcome::done && !task.done && !step->request->long_running;
    const bool counts = end.outcome == run_outcome::failed && !task.done && !step->request->long_running &&
                        !task.failed_runs.contains(end.run.run);
    if (!tracked && !finishes && !counts && (runs_elsewhere || end.run.run <= task.ended_run)) {
        return;
    }
    telemetry::log_state("run ended", {{"task", name.text()},
                                       {"run", std::to_string(end.run.run)},
                                       {"how", std::string{to_string(end.outcome)}},
                                       {"worker", worker.entry.worker.value()}});
    this->state.mark_begun(*step->job);
    if (tracked && finishes) {
        this->learn_run_time(*step, worker, *run, now);
    }
    this->runs.remove(*step, name.index, end.run.run, worker.entry.worker);
    task.ended_run = std::max(task.ended_run, end.run.run);
    task.last_run = std::max(task.last_run, end.run.run);
    if (task.recorded_worker == worker.entry.worker) {
        task.recorded_worker = {};
    }
    if (!end.checkpoint.empty()) {
        task.checkpoint = end.checkpoint;
    }
    this->state.mark_dirty(*step, name.index);
    if (task.done || step->job->cancelled) {
        return;
    }
    if (finishes) {
        worker.successes.add(now);
        this->task_done(*step, name.index, now);
    } else if (counts) {
        this->task_failed(*step, end.run, worker, now);
    } else {
        if (end.outcome == run_outcome::failed) {
            worker.failures.add(now);
        }
        this->requeue(*step, name.index, now);
    }
}

void task_lifecycle::learn_run_time(live_step& step, const worker_state& worker, const live_run& run,
                                    core::steady_time now) {
    if (!run.is_timed || !run.answered_at || run.phase != run_phase::running || step.request->gang) {
        return;
    }
    const auto taken = std::chrono::duration_cast<core::milliseconds>(now - *run.answered_at);
    const auto factor = this->state.speeds.factor_of(worker.entry);
    step.run_times.add({.worker = worker.entry.worker, .taken = taken, .factor = factor});
    this->state.speeds.add_estimate(step.job->policy().queue,
                                    {.taken = taken, .expected = step.request->estimate}, factor);
    if (step.run_times.has_batch()) {
        this->learn_speeds(step);
    }
}

void task_lifecycle::learn_speeds(live_step& step) {
    auto expected = step.run_times.usual_time();
    if (expected.count() == 0) {
        const auto ratio = this->state.speeds.estimate_ratio(step.job->policy().queue);
        expected = std::chrono::duration_cast<core::milliseconds>(step.request->estimate * ratio);
    }
    for (const auto& run : step.run_times.take_batch()) {
        const auto worker = this->state.workers.find(run.worker);
        if (worker != this->state.workers.end()) {
            this->state.speeds.add(worker->second.entry, {.taken = run.taken, .expected = expected});
        }
    }
}

void task_lifecycle::run_lost(live_step& step, std::uint32_t index, std::uint32_t run,
                              const core::worker_id& worker, core::steady_time now) {
    auto& task = step.tasks[index];
    const auto* lost = run_manager::find_run_on(task, run, worker);
    if (lost == nullptr) {
        return;
    }
    telemetry::log_state("run lost without report", {{"task", workflow::task_name{step.name, index}.text()},
                                                     {"run", std::to_string(run)},
                                                     {"worker", worker.value()}});
    if (!lost->checkpoint.empty()) {
        task.checkpoint = lost->checkpoint;
    }
    this->runs.remove(step, index, run, worker);
    task.ended_run = std::max(task.ended_run, run);
    this->state.mark_dirty(step, index);
    this->requeue(step, index, now);
}

void task_lifecycle::run_refused(live_step& step, std::uint32_t index, std::uint32_t run,
                                 const core::worker_id& worker, core::steady_time now) {
    this->runs.remove(step, index, run, worker);
    this->requeue(step, index, now);
}

void task_lifecycle::requeue(live_step& step, std::uint32_t index, core::steady_time now) {
    auto& task = step.tasks[index];
    if (!step.ready || step.job->cancelled || workflow::is_over(step.job->phase)) {
        return;
    }
    if (step.request->gang) {
        if (step.complete()) {
            return;
        }
        if (!has_no_runs(step)) {
            this->stop_gang(step, now);
            return;
        }
        step.waiting.clear();
        for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
            step.waiting.push_back(i);
            step.tasks[i].queued = true;
        }
    } else {
        if (task.done || task.queued || !task.runs.empty()) {
            return;
        }
        task.queued = true;
        step.waiting.push_back(index);
    }
    step.needs_placement = true;
    this->state.placement_needed = true;
    this->state.ready_steps.insert_or_assign(sort_key_of(step), &step);
}

void task_lifecycle::stop_job(live_job& job, core::steady_time now) {
    job.cancelled = true;
    this->state.closing_jobs.insert(job.key());
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& step : occurrence.steps) {
            step.waiting.clear();
            this->state.ready_steps.erase(sort_key_of(step));
            for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
                for (auto& run : step.tasks[i].runs) {
                    this->runs.stop(step, i, run, now);
                }
            }
        }
    }
}

void task_lifecycle::task_done(live_step& step, std::uint32_t index, core::steady_time now) {
    if (step.request->gang) {
        this->gang_done(step, now);
        return;
    }
    auto& task = step.tasks[index];
    task.done = true;
    step.done_tasks++;
    for (auto& copy : task.runs) {
        this->runs.stop(step, index, copy, now);
    }
    if (task.queued) {
        task.queued = false;
        std::erase(step.waiting, index);
    }
    if (step.complete()) {
        this->step_done(step, now);
    }
}

void task_lifecycle::gang_done(live_step& step, core::steady_time now) {
    for (auto& task : step.tasks) {
        task.done = true;
        task.queued = false;
    }
    step.waiting.clear();
    step.done_tasks = static_cast<std::uint32_t>(step.tasks.size());
    this->step_done(step, now);
}

void task_lifecycle::task_failed(live_step& step, const workflow::run_name& run, worker_state& worker,
                                 core::steady_time now) {
    auto& task = step.tasks[run.task.index];
    worker.failures.add(now);
    task.failed_workers.insert(worker.entry.worker);
    if (step.request->gang) {
        for (auto& member : step.tasks) {
            member.failed_runs.insert(run.run);
        }
    } else {
        task.failed_runs.insert(run.run);
    }
    if (task.failed_runs.size() >= step.job->policy().max_attempts) {
        this->end_job(*step.job, workflow::job_phase::failed, now);
        return;
    }
    this->requeue(step, run.task.index, now);
}

void task_lifecycle::keep_or_stop_gang(live_step& step, core::steady_time now) {
    const bool all_run = std::all_of(step.tasks.begin(), step.tasks.end(),
                                     [](const live_task& task) { return !task.runs.empty(); });
    step.waiting.clear();
    for (auto& task : step.tasks) {
        task.queued = false;
    }
    if (!all_run) {
        this->stop_gang(step, now);
    }
}

void task_lifecycle::stop_gang(live_step& step, core::steady_time now) {
    for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
        for (auto& run : step.tasks[i].runs) {
            if (run.phase != run_phase::stopping) {
                this->runs.stop(step, i, run, now);
            }
        }
    }
}

void task_lifecycle::step_done(live_step& step, core::steady_time now) {
    this->learn_speeds(step);
    auto& job = *step.job;
    auto& occurrence = job.occurrences.at(step.name.occurrence);
    this->state.ready_steps.erase(sort_key_of(step));
    occurrence.complete_steps++;
    if (occurrence.complete_steps < occurrence.steps.size()) {
        this->queue_unblocked_steps(job, step.name.occurrence, now);
        return;
    }
    job.complete_occurrences++;
    if (job.complete_occurrences == job.entry->accepted.request.occurrences()) {
        this->end_job(job, workflow::job_phase::completed, now);
    }
}

void task_lifecycle::end_job(live_job& job, workflow::job_phase phase, core::steady_time now) {
    telemetry::log_state("job over", {{"job", job.key().value()}, {"phase", std::string{to_string(phase)}}});
    job.phase = phase;
    this->stop_job(job, now);
    this->state.mark_dirty(job);
    this->state.record_immediately = true;
}

} // namespace rattanmount::dispatch
