#include "scheduling/scheduler.h"

#include "scheduling/dimension.h"
#include "scheduling/explainer.h"
#include "scheduling/placer.h"
#include "scheduling/preemption_planner.h"
#include "scheduling/shard_state.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattanmount::scheduling {

namespace {

/// Workers remembered as having failed one job.
constexpr std::size_t most_failed_on = 8;

worker_standing standing_of(quarantine_phase phase) {
    switch (phase) {
    case quarantine_phase::clear:
        return worker_standing::good;
    case quarantine_phase::set_aside:
        return worker_standing::set_aside;
    case quarantine_phase::probing:
        break;
    }
    return worker_standing::probing;
}

void remember_failure(waiting_job& job, const core::worker_id& worker) {
    const bool known = std::find(job.failed_on.begin(), job.failed_on.end(), worker) != job.failed_on.end();
    if (!known && job.failed_on.size() < most_failed_on) {
        job.failed_on.push_back(worker);
    }
}

} // namespace

scheduler::scheduler(scheduler_options options) : state(std::make_unique<shard_state>(std::move(options))) {}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::set_worker(const worker_info& worker) {
    const auto known = this->state->workers.find(worker.name);
    if (known != no_row && this->state->workers.rows()[known].info == worker) {
        return;
    }
    const auto row = this->state->workers.set(worker);
    if (known == no_row) {
        this->state->holdings.attach(worker.name, row);
        this->state->health.set_worker_count(this->state->workers.count());
    }
}

void scheduler::remove_worker(const core::worker_id& worker) {
    const auto row = this->state->workers.find(worker);
    if (row == no_row) {
        return;
    }
    this->state->holdings.detach(row);
    this->state->workers.remove(row);
    this->state->health.forget(worker);
    this->state->health.set_worker_count(this->state->workers.count());
    this->state->reserved.reset();
}

void scheduler::set_accepting(const core::worker_id& worker, bool accepting) {
    const auto row = this->state->workers.find(worker);
    if (row != no_row) {
        this->state->workers.set_accepting(row, accepting);
    }
}

std::optional<std::string> scheduler::never_fits(const core::job_spec& spec) const {
    auto& workers = this->state->workers;
    if (workers.count() == 0) {
        return std::nullopt;
    }
    workers.refresh_reserve();
    this->state->accounts.start_round();
    const bool urgent = this->state->accounts.pool(spec.pool).urgent();
    const auto tasks = spec.kind == core::work_kind::gang ? spec.tasks : 1;
    const auto fitting = workers.ever_fitting(spec.each, urgent, tasks);
    if (fitting >= tasks) {
        return std::nullopt;
    }
    if (fitting > 0) {
        return "a gang of " + std::to_string(tasks) + " tasks of " + spec.each.text() +
               " is more than the shard can hold: all its workers have room for " + std::to_string(fitting);
    }
    return workers.why_never(spec.each, urgent);
}

void scheduler::add_job(const core::job_spec& spec, core::steady_time waiting_since,
                        const std::vector<std::uint32_t>& waiting_tasks) {
    auto& job = this->state->queue.add(spec, waiting_since);
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        auto* found = this->state->holdings.of_task(spec.id, task);
        if (found != nullptr) {
            this->join(job, *found);
        }
    }
    for (const auto task : waiting_tasks) {
        this->state->queue.wait(job, task);
    }
}

/// Tells a holding and its job of each other.
void scheduler::join(waiting_job& job, holding& what) {
    what.kind = job.spec.kind;
    what.idempotent = job.spec.idempotent;
    what.declared_time = job.spec.expected_run_time;
    if (what.kind == core::work_kind::service) {
        what.expected_time = core::milliseconds::max();
    }
    auto& bound = job.attempts[what.attempt.task].bound;
    bound = std::max(bound, what.attempt.attempt);
    this->state->queue.take(job, what.attempt.task, what.worker);
}

void scheduler::remove_job(const core::job_id& job) {
    if (this->state->reserved.has_value() && this->state->reserved->job == job) {
        this->state->reserved.reset();
    }
    this->state->queue.remove(job);
}

void scheduler::requeue(const core::job_id& job, std::uint32_t task, core::steady_time now) {
    auto* known = this->state->queue.find(job);
    if (known == nullptr || known->placed_on.contains(task)) {
        return;
    }
    if (known->spec.kind == core::work_kind::service && known->waiting.empty()) {
        this->state->queue.set_since(*known, now);
    }
    this->state->queue.wait(*known, task);
}

std::vector<placement> scheduler::place(core::steady_time now, std::size_t most) {
    ++this->state->pass;
    this->state->accounts.start_round();
    this->state->health.advance(now);
    this->apply_standings();
    this->state->workers.refresh_reserve();
    this->state->queue.sweep();
    this->state->failures.refresh(this->state->workers);
    return placer(*this->state, now).run(most);
}

void scheduler::apply_standings() {
    for (const auto& worker : this->state->health.take_changes()) {
        const auto row = this->state->workers.find(worker);
        if (row != no_row) {
            this->state->workers.set_standing(row, standing_of(this->state->health.phase(worker)));
        }
    }
}

void scheduler::task_running(const core::attempt_id& attempt, const core::worker_id& worker,
                             const core::resources& each, const core::pool_id& pool,
                             core::steady_time since) {
    auto* job = this->state->queue.find(attempt.job);
    const bool over = job != nullptr && attempt.attempt <= job->attempts[attempt.task].over;
    if (over || this->state->holdings.find(attempt) != nullptr) {
        return;
    }
    const core::attempt_id unbound{.job = attempt.job, .task = attempt.task};
    const auto* placed = this->state->holdings.find(unbound);
    const bool own =
        placed != nullptr && placed->worker == worker && attempt.attempt > placed->previous_attempt;
    auto& what =
        own ? this->state->holdings.bind(unbound, attempt) : this->adopt(attempt, worker, each, pool);
    what.since = since;
    if (job != nullptr) {
        this->join(*job, what);
    }
}

holding& scheduler::adopt(const core::attempt_id& attempt, const core::worker_id& worker,
                          const core::resources& each, const core::pool_id& pool) {
    auto& accounts = this->state->accounts;
    accounts.start_round();
    holding what{.attempt = attempt,
                 .worker = worker,
                 .row = this->state->workers.find(worker),
                 .declared = each,
                 .size = each,
                 .occupied = each,
                 .idempotent = false, // As long as its job is not known it is never stopped for others.
                 .team = &accounts.team(attempt.job.team),
                 .pool = &accounts.pool(pool),
                 .history = this->state->estimates.find(attempt.job.team, pool),
                 .reason = {.adopted = true}};
    what.urgent = what.pool->urgent();
    what.expected_time = what.history->run_time(core::milliseconds{0}, this->state->options.default_run_time);
    return this->state->holdings.hold(what);
}

void scheduler::placement_dropped(const core::job_id& job, std::uint32_t task) {
    const core::attempt_id unbound{.job = job, .task = task};
    if (this->state->holdings.find(unbound) == nullptr) {
        return;
    }
    this->state->holdings.release(unbound);
    auto* known = this->state->queue.find(job);
    if (known != nullptr) {
        waiting_queue::end(*known, task);
        this->state->queue.wait(*known, task);
    }
}

void scheduler::task_over(const core::attempt_id& attempt, core::attempt_end end, core::milliseconds run_time,
                          const core::resources& used, core::steady_time now) {
    auto* job = this->state->queue.find(attempt.job);
    auto known = attempt;
    const auto* what = this->state->holdings.find(known);
    if (what == nullptr) {
        known.attempt = 0; // Its placement may not have been bound yet.
        what = this->state->holdings.find(known);
    }
    if (what == nullptr || attempt.attempt <= what->previous_attempt) {
        return;
    }
    if (job != nullptr) {
        auto& attempts = job->attempts[attempt.task];
        attempts.bound = std::max(attempts.bound, attempt.attempt);
        attempts.over = std::max(attempts.over, attempt.attempt);
    }
    this->learn(*what, end, run_time, used, now);
    if (job != nullptr) {
        waiting_queue::end(*job, attempt.task);
        if (end == core::attempt_end::failed || end == core::attempt_end::refused) {
            remember_failure(*job, what->worker);
        }
    }
    this->state->holdings.release(known);
    this->apply_standings();
}

void scheduler::learn(const holding& what, core::attempt_end end, core::milliseconds run_time,
                      const core::resources& used, core::steady_time now) {
    what.history->learn_size(what.declared, used);
    const auto& job = what.attempt.job;
    switch (end) {
    case core::attempt_end::finished:
        if (what.kind != core::work_kind::service) {
            what.history->learn_time(what.declared_time, run_time);
        }
        this->state->health.finished(what.worker, job, what.pool->name, what.since, now);
        break;
    case core::attempt_end::failed:
        this->state->health.failed(what.worker, job, what.pool->name, now);
        break;
    case core::attempt_end::refused:
        this->state->health.refused(what.worker, now);
        break;
    case core::attempt_end::lost:
    case core::attempt_end::stopped:
        break;
    }
}

void scheduler::task_usage(const core::attempt_id& attempt, const core::resources& used,
                           core::milliseconds run_time) {
    auto* what = this->state->holdings.find(attempt);
    if (what == nullptr) {
        return;
    }
    static_cast<void>(run_time);
    const bool throttled = what->asked.has_value() && *what->asked == preemption_kind::throttle;
    const auto occupied = throttled ? what->size : larger(what->size, used);
    if (occupied != what->occupied) {
        this->state->workers.resize(*what, occupied);
    }
}

std::vector<preemption> scheduler::preempt(core::steady_time now) {
    this->state->accounts.start_round();
    this->state->workers.refresh_reserve();
    return preemption_planner(*this->state, now).run();
}

std::vector<std::string> scheduler::explain(const core::job_id& job, core::steady_time now) const {
    this->state->accounts.start_round();
    this->state->workers.refresh_reserve();
    const auto* known = this->state->queue.find(job);
    if (known != nullptr && known->group != nullptr) {
        this->state->accounts.refresh(known->group->team);
        this->state->accounts.refresh(known->group->pool);
    }
    return explainer(*this->state, now).lines(job);
}

core::resources scheduler::free() const {
    return this->state->workers.free();
}

core::resources scheduler::largest_free() const {
    return this->state->workers.largest_free();
}

std::uint32_t scheduler::waiting_tasks() const {
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(this->state->queue.tasks(), std::numeric_limits<std::uint32_t>::max()));
}

std::vector<core::job_id> scheduler::movable(core::steady_time now, core::milliseconds waited,
                                             std::size_t most) const {
    std::vector<core::job_id> found;
    this->state->accounts.start_round();
    this->state->workers.refresh_reserve();
    const admission rules(*this->state, now);
    for (const auto& [key, group] : this->state->queue.groups()) {
        if (found.size() >= most) {
            break;
        }
        if (group->jobs.empty() || now - group->head().since < waited) {
            continue;
        }
        this->state->accounts.refresh(group->team);
        this->state->accounts.refresh(group->pool);
        const auto stopped_by = rules.check(*group, group->head(), group->behind_reservation).stopped_by;
        if (stopped_by == gate::open || stopped_by == gate::pool_unknown || stopped_by == gate::team_quota) {
            continue;
        }
        for (const auto* job : group->jobs) {
            if (now - job->since < waited || found.size() >= most) {
                break;
            }
            if (!job->started) {
                found.push_back(job->spec.id);
            }
        }
    }
    return found;
}

core::resources scheduler::held(const core::team_id& team) const {
    const auto& teams = this->state->accounts.teams();
    const auto known = teams.find(team);
    return known == teams.end() ? core::resources{} : known->second.held;
}

std::vector<core::team_id> scheduler::teams() const {
    std::vector<core::team_id> names;
    for (const auto& [name, account] : this->state->accounts.teams()) {
        if (account.held != core::resources{}) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace rattanmount::scheduling
