#include "control/job_runner.h"

#include "core/names.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::control {

namespace {

core::resources no_usage() {
    return {};
}

bool may_rerun(const core::job_spec& spec) {
    return spec.idempotent;
}

} // namespace

job_runner::job_runner(job_runner_options options, const host_hooks& hooks,
                       const ledger::shard_state_machine& fold, ledger::stream_session& session)
    : options(std::move(options)), hooks(hooks), fold(fold), session(session),
      job_scheduler(this->options.scheduling) {}

void job_runner::begin(core::steady_time now) {
    for (const auto& [id, entry] : this->fold.jobs()) {
        if (entry.ended || entry.moved_to || entry.spec.kind == core::work_kind::quick) {
            continue;
        }
        auto& job = this->jobs[id] = job_state::from_record(entry, now);
        this->held_until_takeover.insert(id);
        for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
            if (job.tasks[task].phase != core::task_phase::started) {
                continue;
            }
            const core::worker_id worker{entry.tasks[task].place};
            this->attempts[job.attempt_of(task)] = attempt_state{.phase = attempt_phase::adopted,
                                                                 .worker = worker,
                                                                 .confirmed_at = now,
                                                                 .recorded = true,
                                                                 .stop_wanted = job.cancelled,
                                                                 .counted = true};
            this->job_scheduler.task_running(job.attempt_of(task), worker, job.spec.each, job.spec.pool, now);
        }
    }
}

void job_runner::set_workers(const std::vector<external::listed_worker>& listed, core::steady_time now) {
    this->fleet_known = true;
    for (auto& [name, worker] : this->workers) {
        worker.listed = false;
    }
    for (const auto& info : listed) {
        const auto found = this->workers.find(info.name);
        if (found == this->workers.end()) {
            this->workers.emplace(
                info.name, worker_state{.info = info, .lease = cell::worker_lease{this->options.lease}});
        } else {
            found->second.info = info;
            found->second.listed = true;
        }
        this->job_scheduler.set_worker({.name = info.name,
                                        .rack = info.rack,
                                        .data_centre = info.data_centre,
                                        .capacity = info.capacity});
    }
    // A worker that is no longer listed and holds no lease from this host has ended its tasks.
    for (auto& [name, worker] : this->workers) {
        if (!worker.listed && !worker.lease.held(now) && !worker.marked_ended) {
            this->mark_tasks_ended(worker, now);
        }
    }
    std::set<core::worker_id> unknown;
    for (const auto& [attempt, state] : this->attempts) {
        if (!this->workers.contains(state.worker)) {
            unknown.insert(state.worker);
        }
    }
    for (const auto& name : unknown) {
        worker_state unlisted{.info = {.name = name}, .lease = cell::worker_lease{this->options.lease}};
        this->mark_tasks_ended(unlisted, now);
    }
}

void job_runner::tick(core::steady_time now) {
    this->renew_leases(now);
    this->check_taken_over(now);
    for (auto waiting = this->backing_off.begin(); waiting != this->backing_off.end();) {
        const auto job = this->jobs.find(waiting->first);
        if (job != this->jobs.end()) {
            std::erase_if(waiting->second, [&](std::uint32_t task) {
                const bool due = now >= job->second.tasks[task].not_before;
                if (due && !job->second.decided_outcome && !job->second.cancelled) {
                    this->job_scheduler.requeue(waiting->first, task, now);
                }
                return due;
            });
        }
        const bool ended = job == this->jobs.end() || waiting->second.empty();
        waiting = ended ? this->backing_off.erase(waiting) : std::next(waiting);
    }
    this->send_due_starts(now);
    if (this->placing) {
        this->preempt(now);
        this->place(now);
    }
}

void job_runner::renew_leases(core::steady_time now) {
    for (auto& [name, worker] : this->workers) {
        const bool held = worker.lease.held(now);
        this->job_scheduler.set_accepting(name, held && worker.listed && !worker.info.leaving &&
                                                    !worker.lease.new_lease_required());
        if (!worker.marked_ended && worker.lease.tasks_surely_ended(now)) {
            this->mark_tasks_ended(worker, now);
        }
        if (!worker.lease.request_due(now)) {
            continue;
        }
        const std::vector<core::attempt_id> forget{worker.forget.begin(), worker.forget.end()};
        this->hooks.lease({.shard = this->options.shard,
                           .worker = name,
                           .address = worker.info.address,
                           .request = worker.lease.next_request(now, forget),
                           .sent = now});
    }
}

void job_runner::check_taken_over(core::steady_time now) {
    if (this->taken_over || !this->fleet_known) {
        return;
    }
    const bool all =
        std::ranges::all_of(this->workers, [](const auto& entry) { return entry.second.lease_acquired; });
    if (!all) {
        return;
    }
    this->taken_over = true;
    for (const auto& id : std::exchange(this->held_until_takeover, {})) {
        const auto job = this->jobs.find(id);
        if (job == this->jobs.end() || job->second.decided_outcome) {
            continue;
        }
        job->second.waiting_since = now;
        if (job->second.cancelled) {
            if (!job->second.has_running_tasks()) {
                this->end_job(job->second,
                              job->second.may_have_started ? core::outcome::failed : core::outcome::not_run,
                              "cancelled", now);
            }
            continue;
        }
        this->admit(job->second);
    }
}

void job_runner::admit(job_state& job) {
    this->job_scheduler.add_job(job.spec, job.waiting_since, job.waiting_tasks());
    if (this->fleet_known && (this->workers.empty() || this->job_scheduler.never_fits(job.spec))) {
        this->oversized_jobs.insert(job.spec.id);
    }
}

void job_runner::on_accepted(const core::job_spec& spec, core::steady_time now) {
    const auto* entry = this->fold.find(spec.id);
    if (entry == nullptr || this->jobs.contains(spec.id)) {
        return;
    }
    auto& job = this->jobs[spec.id] = job_state::from_record(*entry, now);
    this->report_event(telemetry::event_kind::job_accepted, spec.id, {},
                       std::string{core::to_string(spec.kind)});
    // The former owner never knew this job, so it may start before the takeover is complete.
    this->admit(job);
}

void job_runner::place(core::steady_time now) {
    for (const auto& placement : this->job_scheduler.place(now, this->options.placements_per_tick)) {
        this->begin_attempt(placement, now);
    }
}

void job_runner::begin_attempt(const scheduling::placement& placement, core::steady_time now) {
    const auto found = this->jobs.find(placement.job);
    if (found == this->jobs.end() || found->second.decided_outcome || found->second.cancelled) {
        this->job_scheduler.placement_dropped(placement.job, placement.task);
        return;
    }
    auto& job = found->second;
    auto& task = job.tasks[placement.task];
    assert(task.phase == core::task_phase::waiting);
    task.phase = core::task_phase::started;
    task.attempt = std::max(task.attempt, task.highest_seen) + 1;
    const auto attempt = job.attempt_of(placement.task);
    this->attempts[attempt] = attempt_state{
        .phase = attempt_phase::recording, .worker = placement.worker, .confirmed_at = now, .counted = true};
    this->job_scheduler.task_running(attempt, placement.worker, job.spec.each, job.spec.pool, now);
    this->report_event(telemetry::event_kind::task_placed, placement.job, placement.worker, attempt.text());
    this->session.add(
        ledger::task_started{.attempt = attempt, .place = placement.worker.value(), .at = this->wall_time()},
        {},
        [this, lifetime = std::weak_ptr<bool>{this->lifetime_token},
         attempt](ledger::record_outcome settled) {
            if (lifetime.expired() || settled != ledger::record_outcome::recorded) {
                return;
            }
            const auto state = this->attempts.find(attempt);
            if (state != this->attempts.end()) {
                state->second.recorded = true;
            }
        });
}

void job_runner::send_due_starts(core::steady_time now) {
    const bool outage = !this->session.log_available();
    std::vector<core::attempt_id> abandoned;
    for (auto& [attempt, state] : this->attempts) {
        if (state.phase != attempt_phase::recording) {
            continue;
        }
        if (state.stop_wanted) {
            abandoned.push_back(attempt);
            continue;
        }
        const auto job = this->jobs.find(attempt.job);
        // While the log is down, idempotent work on the shard's own workers starts without a record.
        if (state.recorded || (outage && job != this->jobs.end() && job->second.spec.idempotent)) {
            this->send_start(attempt, state, now);
            if (state.phase == attempt_phase::recording) {
                abandoned.push_back(attempt);
            }
        }
    }
    for (const auto& attempt : abandoned) {
        this->end_attempt(attempt, core::attempt_end::refused, "not sent", core::milliseconds{0}, no_usage(),
                          now);
    }
}

void job_runner::send_start(const core::attempt_id& attempt, attempt_state& state, core::steady_time now) {
    const auto worker = this->workers.find(state.worker);
    const auto job = this->jobs.find(attempt.job);
    if (worker == this->workers.end() || job == this->jobs.end() || !worker->second.lease.held(now) ||
        worker->second.lease.new_lease_required()) {
        return;
    }
    state.phase = attempt_phase::sending;
    state.confirmed_at = now;
    job->second.may_have_started = true;
    this->report_event(telemetry::event_kind::task_start_sent, attempt.job, state.worker, attempt.text());
    this->hooks.start({.shard = this->options.shard,
                       .worker = state.worker,
                       .address = worker->second.info.address,
                       .lease = worker->second.lease.lease(),
                       .not_after = worker->second.lease.start_deadline(),
                       .attempt = attempt,
                       .each = job->second.spec.each,
                       .payload = job->second.spec.payload});
}

void job_runner::on_start(const core::attempt_id& attempt, const external::start_reply& reply,
                          core::steady_time now) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end() || found->second.phase != attempt_phase::sending) {
        return;
    }
    auto& state = found->second;
    switch (reply.verdict) {
    case external::start_verdict::started:
        state.phase = attempt_phase::running;
        state.confirmed_at = now;
        this->report_event(telemetry::event_kind::task_started, attempt.job, state.worker, attempt.text());
        if (state.stop_wanted) {
            this->send_stop(attempt, state, now);
        }
        return;
    case external::start_verdict::refused:
        this->end_attempt(attempt, core::attempt_end::refused, reply.reason, core::milliseconds{0},
                          no_usage(), now);
        return;
    case external::start_verdict::unknown: {
        // A new lease invalidates all starts under the old one; its inventory then shows which of them took
        // effect.
        const auto worker = this->workers.find(state.worker);
        if (worker != this->workers.end()) {
            worker->second.lease.require_new_lease();
            worker->second.lease.request_now();
        }
        return;
    }
    }
}

void job_runner::on_lease(const core::worker_id& worker, const external::lease_reply& reply,
                          core::steady_time sent, core::steady_time now) {
    const auto found = this->workers.find(worker);
    if (found == this->workers.end()) {
        return;
    }
    auto& state = found->second;
    const auto before = state.lease.lease();
    if (!state.lease.on_reply(reply, sent, now)) {
        return;
    }
    const bool new_lease = before != reply.lease;
    if (new_lease) {
        this->report_event(telemetry::event_kind::lease_taken, {}, worker,
                           std::to_string(reply.lease.value()));
    }
    state.marked_ended = false;
    this->apply_inventory(state, reply, sent, new_lease, now);
    state.lease_acquired = true;
}

void job_runner::apply_inventory(worker_state& worker, const external::lease_reply& reply,
                                 core::steady_time sent, bool new_lease, core::steady_time now) {
    std::set<core::attempt_id> present;
    for (const auto& item : reply.inventory) {
        present.insert(item.attempt);
        this->apply_inventory_item(worker, item, now);
    }
    std::erase_if(worker.forget, [&](const auto& attempt) { return !present.contains(attempt); });
    this->end_missing_attempts(worker, present, sent, new_lease, now);
}

void job_runner::apply_inventory_item(worker_state& worker, const external::inventory_item& item,
                                      core::steady_time now) {
    const auto job = this->jobs.find(item.attempt.job);
    const auto state = this->attempts.find(item.attempt);
    if (state != this->attempts.end() && state->second.worker == worker.info.name) {
        if (item.end) {
            this->end_attempt(item.attempt, *item.end, "reported by " + worker.info.name.value(),
                              item.run_time, item.used, now);
            return;
        }
        state->second.phase = attempt_phase::running;
        this->job_scheduler.update_usage(item.attempt, item.used, item.run_time);
        if (state->second.stop_wanted) {
            this->send_stop(item.attempt, state->second, now);
        }
        return;
    }
    if (job != this->jobs.end() && this->is_newer(item.attempt, job->second)) {
        this->end_older_attempt(item.attempt, job->second, now);
        this->adopt_unrecorded(worker, item, job->second, now);
        return;
    }
    this->handle_stale_attempt(worker, item, now);
}

bool job_runner::is_newer(const core::attempt_id& attempt, const job_state& job) const {
    if (job.decided_outcome || attempt.task >= job.tasks.size()) {
        return false;
    }
    const auto& task = job.tasks[attempt.task];
    if (task.phase == core::task_phase::waiting) {
        return attempt.attempt > task.attempt;
    }
    // The former owner may have started a later attempt than the recorded one, without a record.
    const auto current = this->attempts.find(job.attempt_of(attempt.task));
    return attempt.attempt > task.attempt && current != this->attempts.end() &&
           current->second.phase == attempt_phase::adopted;
}

void job_runner::end_older_attempt(const core::attempt_id& newer, const job_state& job,
                                   core::steady_time now) {
    const auto current = job.attempt_of(newer.task);
    if (this->attempts.contains(current)) {
        this->end_attempt(current, core::attempt_end::lost, "a later attempt was found",
                          core::milliseconds{0}, no_usage(), now);
    }
}

void job_runner::adopt_unrecorded(worker_state& worker, const external::inventory_item& item, job_state& job,
                                  core::steady_time now) {
    auto& task = job.tasks[item.attempt.task];
    task.phase = core::task_phase::started;
    task.attempt = item.attempt.attempt;
    job.may_have_started = true;
    this->attempts[item.attempt] = attempt_state{.phase = attempt_phase::running,
                                                 .worker = worker.info.name,
                                                 .confirmed_at = now,
                                                 .stop_wanted = job.cancelled,
                                                 .counted = true};
    this->job_scheduler.task_running(item.attempt, worker.info.name, job.spec.each, job.spec.pool, now);
    this->session.add(ledger::task_started{.attempt = item.attempt,
                                           .place = worker.info.name.value(),
                                           .at = this->wall_time()},
                      {}, {});
    if (item.end) {
        this->end_attempt(item.attempt, *item.end, "reported by " + worker.info.name.value(), item.run_time,
                          item.used, now);
    }
}

void job_runner::handle_stale_attempt(worker_state& worker, const external::inventory_item& item,
                                      core::steady_time now) {
    const auto known = this->jobs.find(item.attempt.job);
    if (known != this->jobs.end() && item.attempt.task < known->second.tasks.size()) {
        auto& task = known->second.tasks[item.attempt.task];
        task.highest_seen = std::max(task.highest_seen, item.attempt.attempt);
    }
    if (item.end) {
        if (worker.stale_attempts.erase(item.attempt) > 0) {
            this->job_scheduler.task_ended(item.attempt, core::attempt_end::stopped, item.run_time, item.used,
                                           now);
        }
        // An end that is not recorded yet stays in the inventory, for the next owner to find.
        const auto* entry = this->fold.find(item.attempt.job);
        const bool open = entry != nullptr && !entry->ended && item.attempt.task < entry->tasks.size() &&
                          entry->tasks[item.attempt.task].phase != core::task_phase::ended &&
                          entry->tasks[item.attempt.task].attempt <= item.attempt.attempt &&
                          !entry->tasks[item.attempt.task].last_end;
        if (!open) {
            worker.forget.insert(item.attempt);
        }
        return;
    }
    if (worker.stale_attempts.insert(item.attempt).second) {
        this->job_scheduler.task_running(item.attempt, worker.info.name, item.each, {}, now);
    }
    this->hooks.act({.worker = worker.info.name,
                     .address = worker.info.address,
                     .lease = worker.lease.lease(),
                     .attempt = item.attempt,
                     .action = external::attempt_action::stop});
}

void job_runner::end_missing_attempts(worker_state& worker, const std::set<core::attempt_id>& present,
                                      core::steady_time sent, bool new_lease, core::steady_time now) {
    for (auto stale = worker.stale_attempts.begin(); stale != worker.stale_attempts.end();) {
        if (present.contains(*stale)) {
            ++stale;
            continue;
        }
        this->job_scheduler.task_ended(*stale, core::attempt_end::stopped, core::milliseconds{0}, no_usage(),
                                       now);
        stale = worker.stale_attempts.erase(stale);
    }
    std::vector<std::pair<core::attempt_id, core::attempt_end>> ended;
    for (const auto& [attempt, state] : this->attempts) {
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
        this->end_attempt(attempt, end, "not on " + worker.info.name.value(), core::milliseconds{0},
                          no_usage(), now);
    }
}

void job_runner::mark_tasks_ended(worker_state& worker, core::steady_time now) {
    worker.marked_ended = true;
    worker.lease_acquired = true;
    this->report_event(telemetry::event_kind::lease_lost, {}, worker.info.name,
                       "its tasks have certainly ended");
    for (const auto& stale : std::exchange(worker.stale_attempts, {})) {
        this->job_scheduler.task_ended(stale, core::attempt_end::lost, core::milliseconds{0}, no_usage(),
                                       now);
    }
    std::vector<core::attempt_id> ended;
    for (const auto& [attempt, state] : this->attempts) {
        if (state.worker == worker.info.name && state.phase != attempt_phase::recording) {
            ended.push_back(attempt);
        }
    }
    for (const auto& attempt : ended) {
        this->end_attempt(attempt, core::attempt_end::lost, worker.info.name.value() + " is gone",
                          core::milliseconds{0}, no_usage(), now);
    }
}

void job_runner::end_attempt(const core::attempt_id& attempt, core::attempt_end end,
                             const std::string& reason, core::milliseconds run_time,
                             const core::resources& used, core::steady_time now) {
    const auto found = this->attempts.find(attempt);
    assert(found != this->attempts.end());
    const auto worker_name = found->second.worker;
    if (found->second.counted) {
        this->job_scheduler.task_ended(attempt, end, run_time, used, now);
    }
    this->attempts.erase(found);
    this->report_event(telemetry::event_kind::task_ended, attempt.job, worker_name,
                       attempt.text() + " " + std::string{core::to_string(end)});
    this->session.add(
        ledger::task_ended{.attempt = attempt, .end = end, .reason = reason, .at = this->wall_time()}, {},
        [this, lifetime = std::weak_ptr<bool>{this->lifetime_token}, attempt,
         worker_name](ledger::record_outcome settled) {
            if (lifetime.expired() || settled != ledger::record_outcome::recorded) {
                return;
            }
            const auto worker = this->workers.find(worker_name);
            if (worker != this->workers.end()) {
                worker->second.forget.insert(attempt);
            }
        });
    const auto job = this->jobs.find(attempt.job);
    if (job == this->jobs.end()) {
        return;
    }
    this->apply_attempt_end(job->second, attempt.task, end, reason, now);
    const auto* entry = this->fold.find(attempt.job);
    if (entry != nullptr && entry->ended && !job->second.has_running_tasks()) {
        this->jobs.erase(job);
    }
}

void job_runner::apply_attempt_end(job_state& job, std::uint32_t index, core::attempt_end end,
                                   const std::string& reason, core::steady_time now) {
    auto& task = job.tasks[index];
    task.last_end = end;
    const bool service = job.spec.kind == core::work_kind::service;
    task.phase =
        end == core::attempt_end::finished && !service ? core::task_phase::ended : core::task_phase::waiting;
    if (end == core::attempt_end::failed) {
        ++task.failures;
    }
    if (job.decided_outcome) {
        return;
    }
    if (job.all_ended()) {
        this->end_job(job, core::outcome::completed, "", now);
        return;
    }
    const bool ran = end == core::attempt_end::lost || end == core::attempt_end::stopped;
    if (!may_rerun(job.spec) && ran) {
        this->end_job(job, end == core::attempt_end::lost ? core::outcome::unknown : core::outcome::failed,
                      "ran once, and its end was not seen: " + reason, now);
        return;
    }
    if (job.cancelled) {
        if (!job.has_running_tasks()) {
            this->end_job(job, job.may_have_started ? core::outcome::failed : core::outcome::not_run,
                          "cancelled", now);
        }
        return;
    }
    if (!service && task.failures >= job.spec.max_attempts) {
        this->end_job(job, core::outcome::failed, "task " + std::to_string(index) + ": " + reason, now);
        return;
    }
    if (job.spec.kind == core::work_kind::gang && end != core::attempt_end::finished) {
        job.restarting = true;
    }
    if (job.restarting) {
        this->restart_gang(job, now);
        return;
    }
    if (task.phase == core::task_phase::waiting) {
        this->retry(job, index, now);
    }
}

void job_runner::retry(job_state& job, std::uint32_t index, core::steady_time now) {
    auto& task = job.tasks[index];
    const bool backs_off =
        job.spec.kind == core::work_kind::service &&
        (task.last_end == core::attempt_end::finished || task.last_end == core::attempt_end::failed);
    if (!backs_off) {
        this->job_scheduler.requeue(job.spec.id, index, now);
        return;
    }
    constexpr std::uint32_t max_doublings = 10;
    const auto doubled = this->options.service_backoff * (1U << std::min(task.restarts, max_doublings));
    task.not_before = now + std::min(doubled, this->options.service_backoff_limit);
    ++task.restarts;
    this->backing_off[job.spec.id].insert(index);
}

void job_runner::restart_gang(job_state& job, core::steady_time now) {
    if (job.has_running_tasks()) {
        this->stop_all(job, now);
        return;
    }
    job.restarting = false;
    if (this->held_until_takeover.contains(job.spec.id)) {
        // Another worker may run one of its tasks without this host knowing it yet, so the job is admitted
        // when the takeover is complete.
        return;
    }
    this->job_scheduler.remove_job(job.spec.id);
    this->admit(job);
}

void job_runner::end_job(job_state& job, core::outcome result, const std::string& reason,
                         core::steady_time now) {
    job.decided_outcome = result;
    this->oversized_jobs.erase(job.spec.id);
    this->job_scheduler.remove_job(job.spec.id);
    this->stop_all(job, now);
    this->report_event(telemetry::event_kind::job_ended, job.spec.id, {},
                       std::string{core::to_string(result)});
    this->session.add(
        ledger::job_ended{.job = job.spec.id, .result = result, .reason = reason, .at = this->wall_time()},
        {},
        [this, lifetime = std::weak_ptr<bool>{this->lifetime_token},
         id = job.spec.id](ledger::record_outcome settled) {
            if (lifetime.expired() || settled != ledger::record_outcome::recorded) {
                return;
            }
            const auto found = this->jobs.find(id);
            if (found != this->jobs.end() && !found->second.has_running_tasks()) {
                this->jobs.erase(found);
            }
        });
}

void job_runner::stop_all(job_state& job, core::steady_time now) {
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const auto state = this->attempts.find(job.attempt_of(index));
        if (state == this->attempts.end() || state->second.stop_wanted) {
            continue;
        }
        state->second.stop_wanted = true;
        if (state->second.phase == attempt_phase::running) {
            this->send_stop(state->first, state->second, now);
        }
    }
}

void job_runner::send_stop(const core::attempt_id& attempt, const attempt_state& state,
                           core::steady_time now) {
    const auto worker = this->workers.find(state.worker);
    if (worker == this->workers.end() || !worker->second.lease.held(now)) {
        return;
    }
    this->hooks.act({.worker = state.worker,
                     .address = worker->second.info.address,
                     .lease = worker->second.lease.lease(),
                     .attempt = attempt,
                     .action = external::attempt_action::stop});
    worker->second.lease.request_now();
}

void job_runner::cancel(const core::job_id& id, core::steady_time now,
                        std::function<void(ledger::record_outcome)> settled) {
    const auto found = this->jobs.find(id);
    assert(found != this->jobs.end());
    auto& job = found->second;
    this->session.add(ledger::job_cancelled{.job = id, .at = this->wall_time()}, {}, std::move(settled));
    if (job.cancelled) {
        return;
    }
    job.cancelled = true;
    this->report_event(telemetry::event_kind::job_cancelled, id, {}, "");
    this->job_scheduler.remove_job(id);
    this->stop_all(job, now);
    const bool state_known = this->taken_over || !this->held_until_takeover.contains(id);
    if (state_known && !job.has_running_tasks() && !job.decided_outcome) {
        this->end_job(job, job.may_have_started ? core::outcome::failed : core::outcome::not_run, "cancelled",
                      now);
    }
}

void job_runner::preempt(core::steady_time now) {
    for (const auto& victim : this->job_scheduler.preempt(now)) {
        const auto worker = this->workers.find(victim.worker);
        if (worker == this->workers.end() || !worker->second.lease.held(now)) {
            continue;
        }
        using scheduling::preemption_kind;
        const auto send = [&](external::attempt_action action) {
            this->hooks.act({.worker = victim.worker,
                             .address = worker->second.info.address,
                             .lease = worker->second.lease.lease(),
                             .attempt = victim.attempt,
                             .action = action});
        };
        if (victim.kind == preemption_kind::throttle) {
            send(external::attempt_action::throttle);
        }
        if (victim.kind == preemption_kind::checkpoint_and_stop) {
            send(external::attempt_action::checkpoint);
        }
        if (victim.kind != preemption_kind::throttle) {
            send(external::attempt_action::stop);
            worker->second.lease.request_now();
        }
        this->report_event(telemetry::event_kind::preempted, victim.attempt.job, victim.worker,
                           victim.attempt.text() + " for " + victim.for_job.text());
    }
}

bool job_runner::is_quiescent() const {
    return std::ranges::none_of(this->attempts, [](const auto& entry) {
        return entry.second.phase == attempt_phase::recording || entry.second.phase == attempt_phase::sending;
    });
}

void job_runner::release_leases(core::steady_time now) {
    for (auto& [name, worker] : this->workers) {
        if (!worker.lease.held(now)) {
            continue;
        }
        this->hooks.lease({.shard = this->options.shard,
                           .worker = name,
                           .address = worker.info.address,
                           .request = {.holder = this->options.lease.holder,
                                       .renew = worker.lease.lease(),
                                       .term = core::milliseconds{0}},
                           .sent = now});
    }
}

std::optional<std::string> job_runner::never_fits(const core::job_spec& spec) const {
    return this->job_scheduler.never_fits(spec);
}

std::vector<std::string> job_runner::explain(const core::job_id& job, core::steady_time now) const {
    if (this->held_until_takeover.contains(job)) {
        return {"waits until the leases of all workers of its shard are held by the new owner"};
    }
    return this->job_scheduler.explain(job, now);
}

std::vector<core::job_id> job_runner::movable(core::steady_time now, core::milliseconds waited) const {
    constexpr std::size_t max_jobs = 50;
    auto found = this->job_scheduler.movable_jobs(now, waited, max_jobs);
    std::erase_if(found, [this](const auto& id) { return this->oversized_jobs.contains(id); });
    found.insert(found.end(), this->oversized_jobs.begin(), this->oversized_jobs.end());
    std::erase_if(found, [this](const auto& id) {
        const auto job = this->jobs.find(id);
        return job == this->jobs.end() || job->second.may_have_started || job->second.cancelled ||
               job->second.decided_outcome || job->second.has_running_tasks();
    });
    return found;
}

void job_runner::remove_job(const core::job_id& job) {
    this->job_scheduler.remove_job(job);
    this->oversized_jobs.erase(job);
    this->jobs.erase(job);
}

const job_state* job_runner::find(const core::job_id& job) const {
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

void job_runner::report_event(telemetry::event_kind kind, const core::job_id& job,
                              const core::worker_id& worker, const std::string& detail) const {
    this->hooks.on_change(kind, {.job = job.key.empty() ? std::string{} : job.text(),
                                 .worker = worker,
                                 .shard = this->options.shard,
                                 .detail = detail});
}

} // namespace rattanmount::control
