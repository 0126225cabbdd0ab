#include "dispatch/progress_recorder.h"

#include "dispatch/progress_records.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two records of progress that changes no job's phase.
constexpr core::milliseconds record_interval{100};
/// Time without records of progress after the log has rejected one.
constexpr core::milliseconds rejected_record_pause{1000};

} // namespace

void progress_recorder::reset() {
    this->in_flight = false;
    this->paused_until = {};
}

std::optional<progress_batch> progress_recorder::take(core::steady_time now) {
    const bool due = this->state.record_immediately || now >= this->taken_at + record_interval;
    if (!this->state.leading || this->in_flight || !due || now < this->paused_until ||
        (this->state.dirty_jobs.empty() && this->state.closed_jobs.empty() &&
         this->state.unrecorded_ends == 0)) {
        return std::nullopt;
    }
    progress_batch batch{.epoch = this->state.epoch};
    for (const auto& key : this->state.dirty_jobs) {
        const auto job = this->state.jobs.find(key);
        if (job != this->state.jobs.end()) {
            auto changed = take_changed_records(*job->second, this->state.epoch);
            std::move(changed.begin(), changed.end(), std::back_inserter(batch.records));
        }
    }
    this->add_closed_jobs(batch);
    for (const auto& [id, worker] : this->state.workers) {
        if (worker.last_resolved_end() > worker.last_end_recorded) {
            batch.ends.emplace(id, std::pair{worker.entry.incarnation, worker.last_resolved_end()});
        }
        if (worker.entry.draining && worker.proven.inventory_complete) {
            batch.draining.emplace(id, worker.drains);
        }
    }
    this->state.dirty_jobs.clear();
    this->state.record_immediately = false;
    this->state.unrecorded_ends = 0;
    this->in_flight = true;
    this->taken_at = now;
    return batch;
}

void progress_recorder::add_closed_jobs(progress_batch& batch) {
    for (const auto& [key, closed] : std::exchange(this->state.closed_jobs, {})) {
        batch.records.emplace_back(workflow::job_progress{.key = key, .phase = closed.phase});
        for (const auto& part : closed.parts) {
            batch.records.emplace_back(workflow::part_progress{.key = key, .part = part});
        }
        batch.records.emplace_back(workflow::job_closed{key});
    }
}

void progress_recorder::recorded(const progress_batch& batch) {
    if (!this->state.leading || batch.epoch != this->state.epoch) {
        return;
    }
    this->in_flight = false;
    for (const auto& record : batch.records) {
        if (const auto* job = std::get_if<workflow::job_progress>(&record)) {
            this->runs_recorded(job->key, job->steps);
        } else if (const auto* part = std::get_if<workflow::part_progress>(&record)) {
            this->runs_recorded(part->key, part->steps);
        }
    }
    for (const auto& [id, drains] : batch.draining) {
        const auto place = this->state.workers.find(id);
        if (place != this->state.workers.end() && place->second.drains == drains) {
            place->second.drained_runs_recorded = place->second.entry.draining;
        }
    }
    for (const auto& [id, end] : batch.ends) {
        const auto place = this->state.workers.find(id);
        if (place != this->state.workers.end() && place->second.entry.incarnation == end.first) {
            auto& worker = place->second;
            worker.last_end_recorded = std::max(worker.last_end_recorded, end.second);
            if (worker.more_ends_follow) {
                worker.next_hold_at = {}; // Due now.
            }
        }
    }
}

void progress_recorder::runs_recorded(const workflow::job_key& job,
                                      const std::vector<workflow::step_progress>& steps) {
    for (const auto& recorded : steps) {
        auto* step =
            this->state.find_step({.job = job, .occurrence = recorded.occurrence, .step = recorded.step});
        if (step == nullptr) {
            continue;
        }
        for (const auto& [index, progress] : recorded.open) {
            auto& task = step->tasks[index];
            const bool had_to_wait = task.queued && !task.may_number_run();
            task.recorded_run = std::max(task.recorded_run, progress.last_run);
            step->needs_placement = step->needs_placement || had_to_wait;
            this->state.placement_needed = this->state.placement_needed || had_to_wait;
        }
    }
}

void progress_recorder::rejected(const progress_batch& batch, core::steady_time now) {
    if (!this->state.leading || batch.epoch != this->state.epoch) {
        return;
    }
    this->in_flight = false;
    this->paused_until = now + rejected_record_pause;
    for (auto& [key, job] : this->state.jobs) {
        if (job->record) {
            forget_recorded_progress(*job);
            this->state.mark_dirty(*job);
        }
    }
}

void progress_recorder::close_ended_jobs() {
    std::erase_if(this->state.closing_jobs, [this](const workflow::job_key& key) {
        const auto place = this->state.jobs.find(key);
        if (place == this->state.jobs.end()) {
            return true;
        }
        const auto& job = *place->second;
        if (job.dirty) {
            return false;
        }
        for (const auto& [number, occurrence] : job.occurrences) {
            if (!std::all_of(occurrence.steps.begin(), occurrence.steps.end(), has_no_runs)) {
                return false;
            }
        }
        this->state.closed_jobs.emplace(
            key,
            closed_job{.phase = workflow::is_over(job.phase) ? job.phase : workflow::job_phase::cancelled,
                       .parts = {job.recorded_parts.begin(), job.recorded_parts.end()}});
        this->state.jobs.erase(place);
        return true;
    });
}

} // namespace rattanmount::dispatch
