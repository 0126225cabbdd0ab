#include "dispatch/live_job.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

const workflow::step_progress* recorded_step(const live_job& job, std::uint32_t occurrence,
                                             std::uint32_t step) {
    const auto& steps = job.entry->progress.steps;
    const auto found = std::find_if(steps.begin(), steps.end(), [&](const workflow::step_progress& one) {
        return one.occurrence == occurrence && one.step == step;
    });
    return found == steps.end() ? nullptr : &*found;
}

/// @return how long a step takes by the job's estimate, with one advice request.
core::milliseconds expected_time(const workflow::job_accepted& job, const workflow::step_request& step) {
    constexpr std::size_t advised_workers = 30; // What the request of a step is assumed to name.
    const auto& advice = job.policy.advice;
    return step.estimate + (advice ? advice->response_time(advised_workers) : core::milliseconds{0});
}

void restore(live_step& step, const workflow::step_progress& recorded) {
    for (std::size_t i = 0; i < step.tasks.size() && i < recorded.done.size(); i++) {
        if (recorded.done[i]) {
            step.tasks[i].done = true;
            step.done_tasks++;
        }
    }
    for (const auto& [index, progress] : recorded.open) {
        if (index >= step.tasks.size()) {
            continue;
        }
        auto& task = step.tasks[index];
        task.failed_runs = progress.failed_runs;
        task.last_run = progress.last_run;
        task.ended_run = progress.ended_run;
        task.checkpoint = progress.checkpoint;
        task.recorded_worker = progress.worker;
    }
}

workflow::task_progress progress_of(const live_task& task) {
    workflow::task_progress progress{.failed_runs = task.failed_runs,
                                     .last_run = task.last_run,
                                     .ended_run = task.ended_run,
                                     .checkpoint = task.checkpoint,
                                     .worker = task.recorded_worker};
    if (!task.runs.empty()) {
        progress.worker = task.runs.back().worker;
    }
    return progress;
}

workflow::step_progress progress_of(const live_step& step) {
    workflow::step_progress progress{.occurrence = step.name.occurrence, .step = step.name.step};
    progress.done.reserve(step.tasks.size());
    for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
        const auto& task = step.tasks[i];
        progress.done.push_back(task.done);
        const auto open = progress_of(task);
        if (!task.done && open != workflow::task_progress{}) {
            progress.open.emplace(i, open);
        }
    }
    return progress;
}

} // namespace

std::vector<core::milliseconds> longest_chains(const workflow::job_accepted& job) {
    const auto& steps = job.request.steps;
    // A step depends on earlier ones only, so all chains through it are known once the later steps are.
    std::vector<core::milliseconds> chains(steps.size(), core::milliseconds{0});
    for (auto i = steps.size(); i-- > 0;) {
        chains[i] += expected_time(job, steps[i]);
        for (const auto earlier : steps[i].after) {
            chains[earlier] = std::max(chains[earlier], chains[i]);
        }
    }
    return chains;
}

core::milliseconds latency_objective_of(const workflow::job_accepted& job) {
    const auto chains = longest_chains(job);
    const auto longest = std::max_element(chains.begin(), chains.end());
    const auto work = longest == chains.end() ? core::milliseconds{0} : *longest;
    return std::chrono::duration_cast<core::milliseconds>(work * job.policy.stretch) +
           job.policy.latency_goal;
}

void add_occurrence(live_job& job, std::uint32_t occurrence, std::uint32_t max_unrecorded_run,
                    core::steady_time due_at) {
    const auto& request = job.entry->accepted.request;
    job.latency_objective = latency_objective_of(job.entry->accepted);
    const auto chains = longest_chains(job.entry->accepted);
    auto& place = job.occurrences[occurrence];
    place.steps.resize(request.steps.size());
    for (std::uint32_t i = 0; i < request.steps.size(); i++) {
        auto& step = place.steps[i];
        step.job = &job;
        step.request = &request.steps[i];
        step.name = {.job = request.key, .occurrence = occurrence, .step = i};
        step.due_at = due_at;
        step.remaining_work = chains[i];
        step.tasks.resize(step.request->tasks);
        for (auto& task : step.tasks) {
            task.last_run = max_unrecorded_run;
        }
        if (const auto* recorded = recorded_step(job, occurrence, i)) {
            restore(step, *recorded);
        }
        for (auto& task : step.tasks) {
            task.last_run = std::max(task.last_run, max_unrecorded_run);
        }
        if (step.complete()) {
            place.complete_steps++;
        }
    }
    if (place.complete_steps == place.steps.size()) {
        job.complete_occurrences++;
    }
}

workflow::job_progress progress_of(const live_job& job) {
    workflow::job_progress progress{.key = job.key(), .phase = job.phase};
    if (workflow::is_over(job.phase)) {
        return progress;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            auto one = progress_of(step);
            if (step.done_tasks > 0 || !one.open.empty()) {
                progress.steps.push_back(std::move(one));
            }
        }
    }
    return progress;
}

bool has_no_runs(const live_step& step) {
    return std::all_of(step.tasks.begin(), step.tasks.end(),
                       [](const live_task& task) { return task.runs.empty(); });
}

step_sort_key sort_key_of(const live_step& step) {
    return {step.job->policy().priority, step.job->entry->arrival, step.name.occurrence, step.name.step};
}

} // namespace rattanmount::dispatch
