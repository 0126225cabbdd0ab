#include "dispatch/live_job.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

/// @return how long a step takes by the job's estimate, with one advice request.
core::milliseconds expected_time(const workflow::job_accepted& job, const workflow::step_request& step) {
    constexpr std::size_t advised_workers = 30; // What the request of a step is assumed to name.
    const auto& advice = job.policy.advice;
    return step.estimate + (advice ? advice->response_time(advised_workers) : core::milliseconds{0});
}

/// @param recorded_in the epoch of a record; 0 if it names none or there is no record.
/// @param epoch the epoch in which this host leads.
/// @return the most runs of a task that former leaders may have started after that record.
std::uint32_t unrecorded_runs(const live_job& job, core::epoch_id recorded_in, core::epoch_id epoch) {
    if (!job.inherited) {
        return 0;
    }
    // The job may have been started by a leader that had not read of the leader in whose epoch it came.
    const auto accepted_in = std::max<std::uint64_t>(job.entry->epoch.value(), 1);
    const auto since = recorded_in.value() > 0 ? recorded_in.value() : accepted_in - 1;
    return static_cast<std::uint32_t>(epoch.value() - since) * max_unrecorded_runs;
}

/// @param skipped how many run numbers to leave out after those of the record.
void restore(live_step& step, const workflow::step_progress& recorded, std::uint32_t skipped) {
    for (std::size_t i = 0; i < recorded.done.size() && recorded.first + i < step.tasks.size(); i++) {
        step.tasks[recorded.first + i].done = recorded.done[i];
    }
    for (const auto& [index, progress] : recorded.open) {
        if (index >= step.tasks.size()) {
            continue;
        }
        auto& task = step.tasks[index];
        task.failed_runs = progress.failed_runs;
        task.last_run = progress.last_run + skipped;
        task.ended_run = progress.ended_run;
        task.checkpoint = progress.checkpoint;
        task.recorded_worker = progress.worker;
    }
}

/// Restores the recorded progress of the steps that belong to an occurrence.
void restore(live_occurrence& place, std::uint32_t occurrence,
             const std::vector<workflow::step_progress>& recorded, std::uint32_t skipped) {
    for (const auto& one : recorded) {
        if (one.occurrence == occurrence && one.step < place.steps.size()) {
            restore(place.steps[one.step], one, skipped);
        }
    }
}

/// Completes the restored state of a step. The tasks of a gang are done together: if the log has some of them
/// as done, the record of the others was not stored, and the workers list the ends again. They also have
/// their run numbers in common.
/// @param lowest_run the least value of `last_run`.
void finish_restore(live_step& step, std::uint32_t lowest_run) {
    const auto is_done = [](const live_task& task) { return task.done; };
    if (step.request->gang && !std::all_of(step.tasks.begin(), step.tasks.end(), is_done)) {
        for (auto& task : step.tasks) {
            task.done = false;
        }
    }
    std::uint32_t highest = lowest_run;
    for (const auto& task : step.tasks) {
        highest = std::max(highest, task.last_run);
    }
    for (auto& task : step.tasks) {
        task.last_run = step.request->gang ? highest : std::max(task.last_run, lowest_run);
        task.recorded_run = task.last_run;
    }
    step.done_tasks =
        static_cast<std::uint32_t>(std::count_if(step.tasks.begin(), step.tasks.end(), is_done));
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

void add_occurrence(live_job& job, std::uint32_t occurrence, core::epoch_id epoch, core::steady_time due_at) {
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
    }
    const auto& progress = job.entry->progress;
    restore(place, occurrence, progress.steps, unrecorded_runs(job, progress.epoch, epoch));
    for (const auto& [id, part] : job.entry->parts) {
        restore(place, occurrence, part.steps, unrecorded_runs(job, part.epoch, epoch));
    }
    for (auto& step : place.steps) {
        finish_restore(step, unrecorded_runs(job, {}, epoch));
        place.complete_steps += step.complete() ? 1 : 0;
    }
    if (place.complete_steps == place.steps.size()) {
        job.complete_occurrences++;
    }
}

bool has_no_runs(const live_step& step) {
    return std::all_of(step.tasks.begin(), step.tasks.end(),
                       [](const live_task& task) { return task.runs.empty(); });
}

step_sort_key sort_key_of(const live_step& step) {
    return {step.job->policy().priority, step.job->entry->arrival, step.name.occurrence, step.name.step};
}

} // namespace rattanmount::dispatch
