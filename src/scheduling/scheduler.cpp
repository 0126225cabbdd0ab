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

/// Failed workers remembered per job.
constexpr std::size_t max_failed_on = 8;

worker_health health_of(quarantine_phase phase) {
    switch (phase) {
    case quarantine_phase::clear:
        return worker_health::healthy;
    case quarantine_phase::quarantined:
        return worker_health::quarantined;
    case quarantine_phase::probing:
        break;
    }
    return worker_health::probing;
}

void remember_failure(tracked_job& job, const core::worker_id& worker) {
    const bool known = std::find(job.failed_on.begin(), job.failed_on.end(), worker) != job.failed_on.end();
    if (!known && job.failed_on.size() < max_failed_on) {
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
        this->state->allocations.attach_worker(worker.name, row);
        this->state->health.set_worker_count(this->state->workers.count());
    }
}

void scheduler::remove_worker(const core::worker_id& worker) {
    const auto row = this->state->workers.find(worker);
    if (row == no_row) {
        return;
    }
    this->state->allocations.detach_worker(row);
    this->state->workers.remove(row);
    this->state->health.forget(worker);
    this->state->health.set_worker_count(this->state->workers.count());
    this->state->current_reservation.reset();
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
    this->state->accounts.start_lookup_round();
    const bool urgent = this->state->accounts.pool(spec.pool).is_urgent();
    const auto tasks = spec.kind == core::work_kind::gang ? spec.tasks : 1;
    const auto fitting = workers.count_fitting_when_empty(spec.each, urgent, tasks);
    if (fitting >= tasks) {
        return std::nullopt;
    }
    if (fitting > 0) {
        return "a gang of " + std::to_string(tasks) + " tasks of " + spec.each.text() +
               " exceeds the capacity of the shard: all its workers when empty have room for " +
               std::to_string(fitting);
    }
    return workers.why_never_fits(spec.each, urgent);
}

void scheduler::add_job(const core::job_spec& spec, core::steady_time waiting_since,
                        const std::vector<std::uint32_t>& waiting_tasks) {
    auto& job = this->state->queue.add(spec, waiting_since);
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        auto* found = this->state->allocations.find_by_task(spec.id, task);
        if (found != nullptr) {
            this->link(job, *found);
        }
    }
    for (const auto task : waiting_tasks) {
        this->state->queue.enqueue(job, task);
    }
}

/// Links an allocation with its job, so that each has the details of the other.
void scheduler::link(tracked_job& job, allocation& alloc) {
    alloc.kind = job.spec.kind;
    alloc.idempotent = job.spec.idempotent;
    alloc.declared_run_time = job.spec.expected_run_time;
    if (alloc.kind == core::work_kind::service) {
        alloc.estimated_run_time = core::milliseconds::max();
    }
    auto& bound = job.attempts[alloc.attempt.task].last_bound;
    bound = std::max(bound, alloc.attempt.attempt);
    this->state->queue.mark_placed(job, alloc.attempt.task, alloc.worker);
}

void scheduler::remove_job(const core::job_id& job) {
    if (this->state->current_reservation.has_value() && this->state->current_reservation->job == job) {
        this->state->current_reservation.reset();
    }
    this->state->queue.remove(job);
}

void scheduler::requeue(const core::job_id& job, std::uint32_t task, core::steady_time now) {
    auto* known = this->state->queue.find(job);
    if (known == nullptr || known->placed_on.contains(task)) {
        return;
    }
    if (known->spec.kind == core::work_kind::service && known->waiting_tasks.empty()) {
        this->state->queue.set_waiting_since(*known, now);
    }
    this->state->queue.enqueue(*known, task);
}

std::vector<placement> scheduler::place(core::steady_time now, std::size_t max_placements) {
    ++this->state->placement_round;
    this->state->accounts.start_lookup_round();
    this->state->health.advance(now);
    this->apply_quarantine();
    this->state->workers.refresh_reserve();
    this->state->queue.remove_empty();
    this->state->misfits.refresh(this->state->workers);
    return placer(*this->state, now).run(max_placements);
}

void scheduler::apply_quarantine() {
    for (const auto& worker : this->state->health.take_changes()) {
        const auto row = this->state->workers.find(worker);
        if (row != no_row) {
            this->state->workers.set_health(row, health_of(this->state->health.phase(worker)));
        }
    }
}

void scheduler::task_running(const core::attempt_id& attempt, const core::worker_id& worker,
                             const core::resources& each, const core::pool_id& pool,
                             core::steady_time since) {
    auto* job = this->state->queue.find(attempt.job);
    const bool has_ended = job != nullptr && attempt.attempt <= job->attempts[attempt.task].last_ended;
    if (has_ended || this->state->allocations.find(attempt) != nullptr) {
        return;
    }
    const core::attempt_id unbound{.job = attempt.job, .task = attempt.task};
    const auto* placed = this->state->allocations.find(unbound);
    const bool bindable =
        placed != nullptr && placed->worker == worker && attempt.attempt > placed->previous_attempt;
    auto& alloc =
        bindable ? this->state->allocations.bind(unbound, attempt) : this->adopt(attempt, worker, each, pool);
    alloc.since = since;
    if (job != nullptr) {
        this->link(*job, alloc);
    }
}

allocation& scheduler::adopt(const core::attempt_id& attempt, const core::worker_id& worker,
                             const core::resources& each, const core::pool_id& pool) {
    auto& accounts = this->state->accounts;
    accounts.start_lookup_round();
    allocation alloc{.attempt = attempt,
                     .worker = worker,
                     .row = this->state->workers.find(worker),
                     .declared = each,
                     .size = each,
                     .occupied = each,
                     .idempotent = false, // Preemption must not stop it while its job is unknown.
                     .team = &accounts.team(attempt.job.team),
                     .pool = &accounts.pool(pool),
                     .estimates = this->state->estimates.find(attempt.job.team, pool),
                     .reason = {.adopted = true}};
    alloc.urgent = alloc.pool->is_urgent();
    alloc.estimated_run_time =
        alloc.estimates->run_time(core::milliseconds{0}, this->state->options.default_run_time);
    return this->state->allocations.add(alloc);
}

void scheduler::placement_dropped(const core::job_id& job, std::uint32_t task) {
    const core::attempt_id unbound{.job = job, .task = task};
    if (this->state->allocations.find(unbound) == nullptr) {
        return;
    }
    this->state->allocations.release(unbound);
    auto* known = this->state->queue.find(job);
    if (known != nullptr) {
        waiting_queue::mark_not_placed(*known, task);
        this->state->queue.enqueue(*known, task);
    }
}

void scheduler::task_ended(const core::attempt_id& attempt, core::attempt_end end,
                           core::milliseconds run_time, const core::resources& used, core::steady_time now) {
    auto* job = this->state->queue.find(attempt.job);
    auto known = attempt;
    const auto* alloc = this->state->allocations.find(known);
    if (alloc == nullptr) {
        known.attempt = 0; // The placement may not have been bound yet.
        alloc = this->state->allocations.find(known);
    }
    if (alloc == nullptr || attempt.attempt <= alloc->previous_attempt) {
        return;
    }
    if (job != nullptr) {
        auto& attempts = job->attempts[attempt.task];
        attempts.last_bound = std::max(attempts.last_bound, attempt.attempt);
        attempts.last_ended = std::max(attempts.last_ended, attempt.attempt);
    }
    this->learn(*alloc, end, run_time, used, now);
    if (job != nullptr) {
        waiting_queue::mark_not_placed(*job, attempt.task);
        if (end == core::attempt_end::failed || end == core::attempt_end::refused) {
            remember_failure(*job, alloc->worker);
        }
    }
    this->state->allocations.release(known);
    this->apply_quarantine();
}

void scheduler::learn(const allocation& alloc, core::attempt_end end, core::milliseconds run_time,
                      const core::resources& used, core::steady_time now) {
    alloc.estimates->learn_size(alloc.declared, used);
    const auto& job = alloc.attempt.job;
    switch (end) {
    case core::attempt_end::finished:
        if (alloc.kind != core::work_kind::service) {
            alloc.estimates->learn_time(alloc.declared_run_time, run_time);
        }
        this->state->health.record_success(alloc.worker, job, alloc.pool->name, alloc.since, now);
        break;
    case core::attempt_end::failed:
        this->state->health.record_failure(alloc.worker, job, alloc.pool->name, now);
        break;
    case core::attempt_end::refused:
        this->state->health.record_refusal(alloc.worker, now);
        break;
    case core::attempt_end::lost:
    case core::attempt_end::stopped:
        break;
    }
}

void scheduler::update_usage(const core::attempt_id& attempt, const core::resources& used,
                             core::milliseconds run_time) {
    auto* alloc = this->state->allocations.find(attempt);
    if (alloc == nullptr) {
        return;
    }
    static_cast<void>(run_time);
    const bool throttled =
        alloc->requested_preemption.has_value() && *alloc->requested_preemption == preemption_kind::throttle;
    const auto occupied = throttled ? alloc->size : elementwise_max(alloc->size, used);
    if (occupied != alloc->occupied) {
        this->state->workers.resize_allocation(*alloc, occupied);
    }
}

std::vector<preemption> scheduler::preempt(core::steady_time now) {
    this->state->accounts.start_lookup_round();
    this->state->workers.refresh_reserve();
    return preemption_planner(*this->state, now).run();
}

std::vector<std::string> scheduler::explain(const core::job_id& job, core::steady_time now) const {
    this->state->accounts.start_lookup_round();
    this->state->workers.refresh_reserve();
    const auto* known = this->state->queue.find(job);
    if (known != nullptr && known->group != nullptr) {
        this->state->accounts.refresh(known->group->team);
        this->state->accounts.refresh(known->group->pool);
    }
    return explainer(*this->state, now).lines(job);
}

core::resources scheduler::free() const {
    return this->state->workers.total_free();
}

core::resources scheduler::largest_free() const {
    return this->state->workers.largest_free();
}

std::uint32_t scheduler::waiting_tasks() const {
    return static_cast<std::uint32_t>(std::min<std::size_t>(this->state->queue.waiting_task_count(),
                                                            std::numeric_limits<std::uint32_t>::max()));
}

std::vector<core::job_id> scheduler::movable_jobs(core::steady_time now, core::milliseconds waited,
                                                  std::size_t max_jobs) const {
    std::vector<core::job_id> found;
    this->state->accounts.start_lookup_round();
    this->state->workers.refresh_reserve();
    const admission rules(*this->state, now);
    for (const auto& [key, group] : this->state->queue.groups()) {
        if (found.size() >= max_jobs) {
            break;
        }
        if (group->jobs.empty() || now - group->head().waiting_since < waited) {
            continue;
        }
        this->state->accounts.refresh(group->team);
        this->state->accounts.refresh(group->pool);
        const auto blocked_by = rules.check(*group, group->head(), group->blocked_by_reservation).blocked_by;
        if (blocked_by == block_reason::none || blocked_by == block_reason::unknown_pool ||
            blocked_by == block_reason::team_quota) {
            continue;
        }
        for (const auto* job : group->jobs) {
            if (now - job->waiting_since < waited || found.size() >= max_jobs) {
                break;
            }
            if (!job->has_started) {
                found.push_back(job->spec.id);
            }
        }
    }
    return found;
}

core::resources scheduler::team_allocation(const core::team_id& team) const {
    const auto& teams = this->state->accounts.teams();
    const auto known = teams.find(team);
    return known == teams.end() ? core::resources{} : known->second.allocated;
}

std::vector<core::team_id> scheduler::teams_with_allocations() const {
    std::vector<core::team_id> names;
    for (const auto& [name, account] : this->state->accounts.teams()) {
        if (account.allocated != core::resources{}) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace rattanmount::scheduling
