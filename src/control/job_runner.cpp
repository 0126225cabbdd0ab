#include "control/job_runner.h"

#include "core/names.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::control {

namespace {

bool may_rerun(const core::job_spec& spec) {
    return spec.idempotent;
}

} // namespace

job_runner::job_runner(job_runner_options options, const host_hooks& hooks,
                       const ledger::shard_state_machine& fold, ledger::stream_session& session)
    : options(std::move(options)), hooks(hooks), fold(fold), session(session),
      job_scheduler(this->options.scheduling),
      leases(this->options.shard, this->options.lease, hooks), parts{.shard = this->options.shard,
                                                                     .hooks = hooks,
                                                                     .fold = fold,
                                                                     .session = session,
                                                                     .scheduler = this->job_scheduler,
                                                                     .work = this->work,
                                                                     .leases = this->leases,
                                                                     .end_attempt =
                                                                         [this](const ended_attempt& ended,
                                                                                core::steady_time now) {
                                                                             this->end_attempt(ended, now);
                                                                         }},
      starter(this->parts), inventories(this->parts) {}

void job_runner::begin(core::steady_time now) {
    for (const auto& [id, entry] : this->fold.jobs()) {
        if (entry.ended || entry.moved_to || entry.spec.kind == core::work_kind::quick) {
            continue;
        }
        auto& job = this->work.jobs[id] = job_state::from_record(entry, now);
        this->held_until_takeover.insert(id);
        for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
            if (job.tasks[task].phase != core::task_phase::started) {
                continue;
            }
            const core::worker_id worker{entry.tasks[task].place};
            this->work.attempts[job.attempt_of(task)] = attempt_state{.phase = attempt_phase::adopted,
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
    this->leases.set_listed(listed);
    for (const auto& info : listed) {
        this->job_scheduler.set_worker({.name = info.name,
                                        .rack = info.rack,
                                        .data_centre = info.data_centre,
                                        .capacity = info.capacity});
    }
    // A worker that is no longer listed and holds no lease from this host has ended its tasks.
    for (auto& [name, worker] : this->leases.all()) {
        if (!worker.listed && !worker.lease.held(now) && !worker.marked_ended) {
            this->mark_tasks_ended(worker, now);
        }
    }
    std::set<core::worker_id> unknown;
    for (const auto& [attempt, state] : this->work.attempts) {
        if (this->leases.find(state.worker) == nullptr) {
            unknown.insert(state.worker);
        }
    }
    for (const auto& name : unknown) {
        auto unlisted = this->leases.make_unlisted(name);
        this->mark_tasks_ended(unlisted, now);
    }
}

void job_runner::tick(core::steady_time now) {
    this->renew_leases(now);
    this->check_taken_over(now);
    for (auto waiting = this->backing_off.begin(); waiting != this->backing_off.end();) {
        const auto job = this->work.jobs.find(waiting->first);
        if (job != this->work.jobs.end()) {
            std::erase_if(waiting->second, [&](std::uint32_t task) {
                const bool due = now >= job->second.tasks[task].not_before;
                if (due && !job->second.decided_outcome && !job->second.cancelled) {
                    this->job_scheduler.requeue(waiting->first, task, now);
                }
                return due;
            });
        }
        const bool ended = job == this->work.jobs.end() || waiting->second.empty();
        waiting = ended ? this->backing_off.erase(waiting) : std::next(waiting);
    }
    this->starter.send_due(now);
    if (this->placing) {
        this->preempt(now);
        this->place(now);
    }
}

void job_runner::renew_leases(core::steady_time now) {
    for (auto& [name, worker] : this->leases.all()) {
        const bool held = worker.lease.held(now);
        this->job_scheduler.set_accepting(name, held && worker.listed && !worker.info.leaving &&
                                                    !worker.lease.new_lease_required());
        if (!worker.marked_ended && worker.lease.tasks_surely_ended(now)) {
            this->mark_tasks_ended(worker, now);
        }
        this->leases.renew(worker, now);
    }
}

void job_runner::check_taken_over(core::steady_time now) {
    if (this->taken_over || !this->fleet_known || !this->leases.all_acquired()) {
        return;
    }
    this->taken_over = true;
    for (const auto& id : std::exchange(this->held_until_takeover, {})) {
        const auto job = this->work.jobs.find(id);
        if (job == this->work.jobs.end() || job->second.decided_outcome) {
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
    if (this->fleet_known && (this->leases.all().empty() || this->job_scheduler.never_fits(job.spec))) {
        this->oversized_jobs.insert(job.spec.id);
    }
}

void job_runner::on_accepted(const core::job_spec& spec, core::steady_time now) {
    const auto* entry = this->fold.find(spec.id);
    if (entry == nullptr || this->work.jobs.contains(spec.id)) {
        return;
    }
    auto& job = this->work.jobs[spec.id] = job_state::from_record(*entry, now);
    this->parts.report_event(telemetry::event_kind::job_accepted, spec.id, {},
                             std::string{core::to_string(spec.kind)});
    // The former owner never knew this job, so it may start before the takeover is complete.
    this->admit(job);
}

void job_runner::place(core::steady_time now) {
    for (const auto& placement : this->job_scheduler.place(now, this->options.placements_per_tick)) {
        this->starter.begin(placement, now);
    }
}

void job_runner::on_lease(const core::worker_id& worker, const external::lease_reply& reply,
                          core::steady_time sent, core::steady_time now) {
    auto* found = this->leases.find(worker);
    if (found == nullptr) {
        return;
    }
    auto& state = *found;
    const auto before = state.lease.lease();
    if (!state.lease.on_reply(reply, sent, now)) {
        return;
    }
    const bool new_lease = before != reply.lease;
    if (new_lease) {
        this->parts.report_event(telemetry::event_kind::lease_taken, {}, worker,
                                 std::to_string(reply.lease.value()));
    }
    state.marked_ended = false;
    this->inventories.apply(state, reply, sent, new_lease, now);
    state.lease_acquired = true;
}

void job_runner::mark_tasks_ended(leased_worker& worker, core::steady_time now) {
    worker.marked_ended = true;
    worker.lease_acquired = true;
    this->parts.report_event(telemetry::event_kind::lease_lost, {}, worker.info.name,
                             "its tasks have certainly ended");
    for (const auto& stale : std::exchange(worker.stale_attempts, {})) {
        this->job_scheduler.task_ended(stale, core::attempt_end::lost, core::milliseconds{0}, {}, now);
    }
    std::vector<core::attempt_id> ended;
    for (const auto& [attempt, state] : this->work.attempts) {
        if (state.worker == worker.info.name && state.phase != attempt_phase::recording) {
            ended.push_back(attempt);
        }
    }
    for (const auto& attempt : ended) {
        this->end_attempt({.attempt = attempt,
                           .end = core::attempt_end::lost,
                           .reason = worker.info.name.value() + " is gone"},
                          now);
    }
}

void job_runner::end_attempt(const ended_attempt& ended, core::steady_time now) {
    const auto& attempt = ended.attempt;
    const auto found = this->work.attempts.find(attempt);
    assert(found != this->work.attempts.end());
    const auto worker_name = found->second.worker;
    if (found->second.counted) {
        this->job_scheduler.task_ended(attempt, ended.end, ended.run_time, ended.used, now);
    }
    this->work.attempts.erase(found);
    this->parts.report_event(telemetry::event_kind::task_ended, attempt.job, worker_name,
                             attempt.text() + " " + std::string{core::to_string(ended.end)});
    this->session.add(
        ledger::task_ended{
            .attempt = attempt, .end = ended.end, .reason = ended.reason, .at = this->wall_time()},
        {},
        [this, lifetime = std::weak_ptr<bool>{this->lifetime_token}, attempt,
         worker_name](ledger::record_outcome settled) {
            if (lifetime.expired() || settled != ledger::record_outcome::recorded) {
                return;
            }
            if (auto* worker = this->leases.find(worker_name)) {
                worker->forget.insert(attempt);
            }
        });
    const auto job = this->work.jobs.find(attempt.job);
    if (job == this->work.jobs.end()) {
        return;
    }
    this->apply_attempt_end(job->second, attempt.task, ended.end, ended.reason, now);
    const auto* entry = this->fold.find(attempt.job);
    if (entry != nullptr && entry->ended && !job->second.has_running_tasks()) {
        this->work.jobs.erase(job);
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
    this->parts.report_event(telemetry::event_kind::job_ended, job.spec.id, {},
                             std::string{core::to_string(result)});
    this->session.add(
        ledger::job_ended{.job = job.spec.id, .result = result, .reason = reason, .at = this->wall_time()},
        {},
        [this, lifetime = std::weak_ptr<bool>{this->lifetime_token},
         id = job.spec.id](ledger::record_outcome settled) {
            if (lifetime.expired() || settled != ledger::record_outcome::recorded) {
                return;
            }
            const auto found = this->work.jobs.find(id);
            if (found != this->work.jobs.end() && !found->second.has_running_tasks()) {
                this->work.jobs.erase(found);
            }
        });
}

void job_runner::stop_all(job_state& job, core::steady_time now) {
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const auto state = this->work.attempts.find(job.attempt_of(index));
        if (state == this->work.attempts.end() || state->second.stop_wanted) {
            continue;
        }
        state->second.stop_wanted = true;
        if (state->second.phase == attempt_phase::running) {
            this->leases.stop(state->second.worker, state->first, now);
        }
    }
}

void job_runner::cancel(const core::job_id& id, core::steady_time now,
                        std::function<void(ledger::record_outcome)> settled) {
    const auto found = this->work.jobs.find(id);
    assert(found != this->work.jobs.end());
    auto& job = found->second;
    this->session.add(ledger::job_cancelled{.job = id, .at = this->wall_time()}, {}, std::move(settled));
    if (job.cancelled) {
        return;
    }
    job.cancelled = true;
    this->parts.report_event(telemetry::event_kind::job_cancelled, id, {}, "");
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
        auto* worker = this->leases.find_held(victim.worker, now);
        if (worker == nullptr) {
            continue;
        }
        using scheduling::preemption_kind;
        if (victim.kind == preemption_kind::throttle) {
            this->leases.act(*worker, victim.attempt, external::attempt_action::throttle);
        }
        if (victim.kind == preemption_kind::checkpoint_and_stop) {
            this->leases.act(*worker, victim.attempt, external::attempt_action::checkpoint);
        }
        if (victim.kind != preemption_kind::throttle) {
            this->leases.act(*worker, victim.attempt, external::attempt_action::stop);
            worker->lease.request_now();
        }
        this->parts.report_event(telemetry::event_kind::preempted, victim.attempt.job, victim.worker,
                                 victim.attempt.text() + " for " + victim.for_job.text());
    }
}

bool job_runner::is_quiescent() const {
    return std::ranges::none_of(this->work.attempts, [](const auto& entry) {
        return entry.second.phase == attempt_phase::recording || entry.second.phase == attempt_phase::sending;
    });
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
        const auto job = this->work.jobs.find(id);
        // The state machine refuses to move a job with a recorded attempt, even if that was never sent.
        return job == this->work.jobs.end() || job->second.may_have_started || job->second.has_attempts() ||
               job->second.cancelled || job->second.decided_outcome;
    });
    return found;
}

void job_runner::remove_job(const core::job_id& job) {
    this->job_scheduler.remove_job(job);
    this->oversized_jobs.erase(job);
    this->work.jobs.erase(job);
}

const job_state* job_runner::find(const core::job_id& job) const {
    const auto found = this->work.jobs.find(job);
    return found == this->work.jobs.end() ? nullptr : &found->second;
}

} // namespace rattanmount::control
