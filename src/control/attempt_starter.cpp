#include "control/attempt_starter.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace rattanmount::control {

attempt_starter::attempt_starter(const runner_parts& parts) : parts(parts) {}

void attempt_starter::begin(const scheduling::placement& placement, core::steady_time now) {
    const auto found = this->parts.work.jobs.find(placement.job);
    if (found == this->parts.work.jobs.end() || found->second.decided_outcome || found->second.cancelled) {
        this->parts.scheduler.placement_dropped(placement.job, placement.task);
        return;
    }
    auto& job = found->second;
    auto& task = job.tasks[placement.task];
    assert(task.phase == core::task_phase::waiting);
    task.phase = core::task_phase::started;
    task.attempt = std::max(task.attempt, task.highest_seen) + 1;
    const auto attempt = job.attempt_of(placement.task);
    this->parts.work.attempts[attempt] = attempt_state{
        .phase = attempt_phase::recording, .worker = placement.worker, .confirmed_at = now, .counted = true};
    this->parts.scheduler.task_running(attempt, placement.worker, job.spec.each, job.spec.pool, now);
    this->parts.report_event(telemetry::event_kind::task_placed, attempt.job, placement.worker,
                             attempt.text());
    this->parts.session.add(ledger::task_started{.attempt = attempt,
                                                 .place = placement.worker.value(),
                                                 .at = this->parts.hooks.wall_time()},
                            {},
                            [this, lifetime = std::weak_ptr<bool>{this->lifetime_token},
                             attempt](ledger::record_outcome settled) {
                                if (lifetime.expired() || settled != ledger::record_outcome::recorded) {
                                    return;
                                }
                                const auto state = this->parts.work.attempts.find(attempt);
                                if (state != this->parts.work.attempts.end()) {
                                    state->second.recorded = true;
                                }
                            });
}

void attempt_starter::send_due(core::steady_time now) {
    const bool outage = !this->parts.session.log_available();
    std::vector<core::attempt_id> abandoned;
    for (auto& [attempt, state] : this->parts.work.attempts) {
        if (state.phase != attempt_phase::recording) {
            continue;
        }
        if (state.stop_wanted) {
            abandoned.push_back(attempt);
            continue;
        }
        const auto job = this->parts.work.jobs.find(attempt.job);
        // While the log is down, idempotent work on the shard's own workers starts without a record.
        if (state.recorded || (outage && job != this->parts.work.jobs.end() && job->second.spec.idempotent)) {
            this->send(attempt, state, now);
            if (state.phase == attempt_phase::recording) {
                abandoned.push_back(attempt);
            }
        }
    }
    for (const auto& attempt : abandoned) {
        this->parts.end_attempt({.attempt = attempt, .end = core::attempt_end::refused, .reason = "not sent"},
                                now);
    }
}

void attempt_starter::send(const core::attempt_id& attempt, attempt_state& state, core::steady_time now) {
    const auto* worker = this->parts.leases.find_held(state.worker, now);
    const auto job = this->parts.work.jobs.find(attempt.job);
    if (worker == nullptr || job == this->parts.work.jobs.end() || worker->lease.new_lease_required()) {
        return;
    }
    state.phase = attempt_phase::sending;
    state.confirmed_at = now;
    job->second.may_have_started = true;
    this->parts.report_event(telemetry::event_kind::task_start_sent, attempt.job, state.worker,
                             attempt.text());
    this->parts.hooks.start({.shard = this->parts.shard,
                             .worker = state.worker,
                             .address = worker->info.address,
                             .lease = worker->lease.lease(),
                             .not_after = worker->lease.start_deadline(),
                             .attempt = attempt,
                             .each = job->second.spec.each,
                             .payload = job->second.spec.payload});
}

void attempt_starter::on_reply(const core::attempt_id& attempt, const external::start_reply& reply,
                               core::steady_time now) {
    const auto found = this->parts.work.attempts.find(attempt);
    if (found == this->parts.work.attempts.end() || found->second.phase != attempt_phase::sending) {
        return;
    }
    auto& state = found->second;
    switch (reply.verdict) {
    case external::start_verdict::started:
        state.phase = attempt_phase::running;
        state.confirmed_at = now;
        this->parts.report_event(telemetry::event_kind::task_started, attempt.job, state.worker,
                                 attempt.text());
        if (state.stop_wanted) {
            this->parts.leases.stop(state.worker, attempt, now);
        }
        return;
    case external::start_verdict::refused:
        this->parts.end_attempt(
            {.attempt = attempt, .end = core::attempt_end::refused, .reason = reply.reason}, now);
        return;
    case external::start_verdict::unknown:
        // A new lease invalidates all starts under the old one; its inventory then shows which of them took
        // effect.
        if (auto* worker = this->parts.leases.find(state.worker)) {
            worker->lease.require_new_lease();
            worker->lease.request_now();
        }
        return;
    }
}

} // namespace rattanmount::control
