#include "control/inventory_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanmount::control {

inventory_reader::inventory_reader(const runner_parts& parts) : parts(parts) {}

void inventory_reader::apply(leased_worker& worker, const external::lease_reply& reply,
                             core::steady_time sent, bool new_lease, core::steady_time now) {
    std::set<core::attempt_id> present;
    for (const auto& item : reply.inventory) {
        present.insert(item.attempt);
        this->apply_item(worker, item, now);
    }
    std::erase_if(worker.forget, [&](const auto& attempt) { return !present.contains(attempt); });
    this->end_missing_stale(worker, present, now);
    this->end_missing_attempts(worker, present, sent, new_lease, now);
}

void inventory_reader::apply_item(leased_worker& worker, const external::inventory_item& item,
                                  core::steady_time now) {
    const auto job = this->parts.work.jobs.find(item.attempt.job);
    const auto state = this->parts.work.attempts.find(item.attempt);
    if (state != this->parts.work.attempts.end() && state->second.worker == worker.info.name) {
        this->apply_current(worker, item, state->second, now);
        return;
    }
    if (job != this->parts.work.jobs.end() && this->is_newer(item.attempt, job->second)) {
        this->end_older_attempt(item.attempt, job->second, now);
        this->adopt_unrecorded(worker, item, job->second, now);
        return;
    }
    this->handle_stale_attempt(worker, item, now);
}

void inventory_reader::apply_current(const leased_worker& worker, const external::inventory_item& item,
                                     attempt_state& state, core::steady_time now) {
    if (item.end) {
        this->end_reported(worker, item, now);
        return;
    }
    state.phase = attempt_phase::running;
    this->parts.scheduler.update_usage(item.attempt, item.used, item.run_time);
    if (state.stop_wanted) {
        this->parts.leases.stop(state.worker, item.attempt, now);
    }
}

bool inventory_reader::is_newer(const core::attempt_id& attempt, const job_state& job) const {
    if (job.decided_outcome || attempt.task >= job.tasks.size()) {
        return false;
    }
    const auto& task = job.tasks[attempt.task];
    if (task.phase == core::task_phase::waiting) {
        return attempt.attempt > task.attempt;
    }
    // The former owner may have started a later attempt than the recorded one, without a record.
    const auto current = this->parts.work.attempts.find(job.attempt_of(attempt.task));
    return attempt.attempt > task.attempt && current != this->parts.work.attempts.end() &&
           current->second.phase == attempt_phase::adopted;
}

void inventory_reader::end_older_attempt(const core::attempt_id& newer, const job_state& job,
                                         core::steady_time now) {
    const auto current = job.attempt_of(newer.task);
    if (this->parts.work.attempts.contains(current)) {
        this->parts.end_attempt(
            {.attempt = current, .end = core::attempt_end::lost, .reason = "a later attempt was found"}, now);
    }
}

void inventory_reader::adopt_unrecorded(const leased_worker& worker, const external::inventory_item& item,
                                        job_state& job, core::steady_time now) {
    auto& task = job.tasks[item.attempt.task];
    task.phase = core::task_phase::started;
    task.attempt = item.attempt.attempt;
    job.may_have_started = true;
    this->parts.work.attempts[item.attempt] = attempt_state{.phase = attempt_phase::running,
                                                            .worker = worker.info.name,
                                                            .confirmed_at = now,
                                                            .stop_wanted = job.cancelled,
                                                            .counted = true};
    this->parts.scheduler.task_running(item.attempt, worker.info.name, job.spec.each, job.spec.pool, now);
    this->parts.session.add(ledger::task_started{.attempt = item.attempt,
                                                 .place = worker.info.name.value(),
                                                 .at = this->parts.hooks.wall_time()},
                            {}, {});
    if (item.end) {
        this->end_reported(worker, item, now);
    }
}

void inventory_reader::end_reported(const leased_worker& worker, const external::inventory_item& item,
                                    core::steady_time now) {
    this->parts.end_attempt({.attempt = item.attempt,
                             .end = *item.end,
                             .reason = "reported by " + worker.info.name.value(),
                             .run_time = item.run_time,
                             .used = item.used},
                            now);
}

void inventory_reader::handle_stale_attempt(leased_worker& worker, const external::inventory_item& item,
                                            core::steady_time now) {
    const auto known = this->parts.work.jobs.find(item.attempt.job);
    if (known != this->parts.work.jobs.end() && item.attempt.task < known->second.tasks.size()) {
        auto& task = known->second.tasks[item.attempt.task];
        task.highest_seen = std::max(task.highest_seen, item.attempt.attempt);
    }
    if (item.end) {
        this->forget_stale_attempt(worker, item, now);
        return;
    }
    if (worker.stale_attempts.insert(item.attempt).second) {
        this->parts.scheduler.task_running(item.attempt, worker.info.name, item.each, {}, now);
    }
    this->parts.leases.act(worker, item.attempt, external::attempt_action::stop);
}

void inventory_reader::forget_stale_attempt(leased_worker& worker, const external::inventory_item& item,
                                            core::steady_time now) {
    if (worker.stale_attempts.erase(item.attempt) > 0) {
        this->parts.scheduler.task_ended(item.attempt, core::attempt_end::stopped, item.run_time, item.used,
                                         now);
    }
    // An end that is not recorded yet stays in the inventory, for the next owner to find.
    const auto* entry = this->parts.fold.find(item.attempt.job);
    const bool open = entry != nullptr && !entry->ended && item.attempt.task < entry->tasks.size() &&
                      entry->tasks[item.attempt.task].phase != core::task_phase::ended &&
                      entry->tasks[item.attempt.task].attempt <= item.attempt.attempt &&
                      !entry->tasks[item.attempt.task].last_end;
    if (!open) {
        worker.forget.insert(item.attempt);
    }
}

void inventory_reader::end_missing_stale(leased_worker& worker, const std::set<core::attempt_id>& present,
                                         core::steady_time now) {
    std::erase_if(worker.stale_attempts, [&](const auto& stale) {
        const bool missing = !present.contains(stale);
        if (missing) {
            this->parts.scheduler.task_ended(stale, core::attempt_end::stopped, core::milliseconds{0}, {},
                                             now);
        }
        return missing;
    });
}

void inventory_reader::end_missing_attempts(const leased_worker& worker,
                                            const std::set<core::attempt_id>& present, core::steady_time sent,
                                            bool new_lease, core::steady_time now) {
    std::vector<std::pair<core::attempt_id, core::attempt_end>> ended;
    for (const auto& [attempt, state] : this->parts.work.attempts) {
        if (state.worker != worker.info.name || present.contains(attempt)) {
            continue;
        }
        const bool ran = state.phase == attempt_phase::running || state.phase == attempt_phase::adopted;
        if (ran && state.confirmed_at < sent) {
            ended.emplace_back(attempt, core::attempt_end::lost);
        } else if (state.phase == attempt_phase::sending && new_lease && state.confirmed_at < sent) {
            ended.emplace_back(attempt, core::attempt_end::refused);
        }
    }
    for (const auto& [attempt, end] : ended) {
        this->parts.end_attempt(
            {.attempt = attempt, .end = end, .reason = "not on " + worker.info.name.value()}, now);
    }
}

} // namespace rattanmount::control
