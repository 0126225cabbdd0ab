#include "dispatch/progress_records.h"

#include <algorithm>
#include <utility>

namespace rattanmount::dispatch {

namespace {

using workflow::part_id;

/// The part that the record of the job itself holds.
constexpr part_id first_part{};

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

workflow::step_progress progress_of(const live_step& step,
                                    const workflow::progress_layout::task_range& range) {
    workflow::step_progress progress{
        .occurrence = step.name.occurrence, .step = step.name.step, .first = range.first};
    progress.done.reserve(range.count);
    for (auto i = range.first; i < range.first + range.count; i++) {
        const auto& task = step.tasks[i];
        progress.done.push_back(task.done);
        const auto open = progress_of(task);
        if (!task.done && open != workflow::task_progress{}) {
            progress.open.emplace(i, open);
        }
    }
    return progress;
}

/// @return the progress of a part; empty if there is none or its occurrence is not open.
std::vector<workflow::step_progress> progress_of(const live_job& job, const part_id& part) {
    std::vector<workflow::step_progress> steps;
    const auto occurrence = job.occurrences.find(part.occurrence);
    if (occurrence == job.occurrences.end()) {
        return steps;
    }
    for (const auto& range : job.layout->ranges_of(part.number)) {
        auto one = progress_of(occurrence->second.steps[range.step], range);
        const bool any_done = std::find(one.done.begin(), one.done.end(), true) != one.done.end();
        if (any_done || !one.open.empty()) {
            steps.push_back(std::move(one));
        }
    }
    return steps;
}

bool has_several_parts(const live_job& job) {
    return job.layout->parts() > 1 || job.entry->accepted.request.occurrences() > 1;
}

workflow::job_progress record_of(const live_job& job, core::epoch_id epoch) {
    workflow::job_progress record{.key = job.key(), .phase = job.phase};
    if (!workflow::is_over(job.phase)) {
        record.epoch = epoch;
        record.steps = progress_of(job, first_part);
        record.complete_occurrences = job.folded_occurrences;
        record.in_parts = has_several_parts(job);
    }
    return record;
}

std::set<part_id> open_parts(const live_job& job) {
    std::set<part_id> parts;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t part = 0; part < job.layout->parts(); part++) {
            parts.insert({.occurrence = number, .number = part});
        }
    }
    return parts;
}

bool can_be_folded(const live_occurrence& occurrence) {
    return occurrence.complete_steps == occurrence.steps.size() &&
           std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const live_step& step) { return has_no_runs(step) && step.kept_workers.empty(); });
}

void fold_complete_occurrences(live_job& job) {
    if (job.entry->accepted.request.occurrences() == 1) {
        return;
    }
    std::erase_if(job.occurrences, [&job](const auto& place) {
        const auto& [number, occurrence] = place;
        if (!can_be_folded(occurrence)) {
            return false;
        }
        if (job.folded_occurrences.size() <= number) {
            job.folded_occurrences.resize(number + 1, false);
        }
        job.folded_occurrences[number] = true;
        return true;
    });
}

} // namespace

void add_changed_part(live_step& step, std::uint32_t task) {
    auto& job = *step.job;
    const auto last_task = static_cast<std::uint32_t>(step.tasks.size() - 1);
    const auto first = job.layout->part_of(step.name.step, step.request->gang ? 0 : task);
    const auto last = job.layout->part_of(step.name.step, step.request->gang ? last_task : task);
    for (auto part = first; part <= last; part++) {
        job.changed_parts.insert({.occurrence = step.name.occurrence, .number = part});
    }
}

std::vector<workflow::cell_record> take_changed_records(live_job& job, core::epoch_id epoch) {
    auto changed = std::exchange(job.changed_parts, {});
    job.dirty = false;
    fold_complete_occurrences(job);
    auto record = record_of(job, epoch);
    if (record.in_parts && !std::exchange(job.recorded_in_parts, true)) {
        changed = open_parts(job); // Until now, the record of the job held all of them.
    }
    if (!record.in_parts) {
        changed.clear();
    }
    changed.erase(first_part);
    std::vector<workflow::cell_record> records;
    for (const auto& part : changed) {
        if (auto steps = progress_of(job, part); !steps.empty()) {
            records.emplace_back(workflow::part_progress{
                .key = job.key(), .part = part, .steps = std::move(steps), .epoch = epoch});
            job.recorded_parts.insert(part);
        }
    }
    if (job.record != record) {
        job.record = record;
        records.emplace_back(std::move(record));
    }
    std::erase_if(job.recorded_parts, [&](const part_id& part) {
        if (!workflow::is_over(job.phase) && job.occurrences.contains(part.occurrence)) {
            return false;
        }
        records.emplace_back(workflow::part_progress{.key = job.key(), .part = part});
        return true;
    });
    return records;
}

void forget_recorded_progress(live_job& job) {
    job.record.reset();
    job.recorded_in_parts = false;
}

} // namespace rattanmount::dispatch
