#include "scheduling/placer.h"

#include "scheduling/forecast.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattanmount::scheduling {

namespace {

/// How much each ageing interval without a placement lowers a team's share.
constexpr double share_credit_per_step = 0.1;
/// Jobs tried per group if the first one is blocked for a reason of its own.
constexpr std::size_t max_jobs_tried = 8;
/// A task of at least this share of the largest worker may get a reservation after one ageing interval.
constexpr double large_task_share = 0.25;

double weight_of(std::uint32_t weight) {
    return static_cast<double>(std::max(weight, 1U));
}

} // namespace

bool placer::served_later::operator()(const candidate& left, const candidate& right) const {
    return std::tie(left.share, left.waiting_since, left.serial) >
           std::tie(right.share, right.waiting_since, right.serial);
}

placer::placer(shard_state& state, core::steady_time now) : state(state), now(now), rules(state, now) {}

double placer::ageing_steps(core::steady_time since) const {
    const std::chrono::duration<double> waited = this->now - since;
    const std::chrono::duration<double> step = this->state.options.ageing_interval;
    return step.count() <= 0.0 ? 0.0 : std::max(0.0, waited / step);
}

placer::candidate placer::make_candidate(team_queue& queue) const {
    const auto& head = (*queue.groups.begin())->head();
    const auto& team = queue.team;
    const auto weight = weight_of(team.policy == nullptr ? 1 : team.policy->weight);
    const auto unserved_since = std::max(head.waiting_since, queue.last_served.value_or(head.waiting_since));
    const double share =
        (team.allocated + team.remote_usage).dominant_share(this->state.workers.capacity()) / weight;
    return {.share = share - share_credit_per_step * this->ageing_steps(unserved_since),
            .waiting_since = head.waiting_since,
            .serial = head.serial,
            .queue = &queue};
}

void placer::collect() {
    const auto& rows = this->state.workers.rows();
    const auto& probes = this->state.workers.probing_rows();
    this->probe_wanted = std::any_of(probes.begin(), probes.end(), [&](row_index row) {
        return std::none_of(rows[row].allocations.begin(), rows[row].allocations.end(),
                            [](const allocation* alloc) { return alloc->reason.probe; });
    });
    for (const auto& [key, queue] : this->state.queue.team_queues()) {
        if (queue->groups.empty()) {
            continue;
        }
        this->state.accounts.refresh(queue->team);
        this->state.accounts.refresh(queue->pool);
        if (this->pools.empty() || this->pools.back().pool != &queue->pool) {
            this->pools.emplace_back().pool = &queue->pool;
        }
        queue->candidate_round = this->state.placement_round;
        const auto entry = this->make_candidate(*queue);
        this->pools.back().teams.push(entry);
        this->pools.back().oldest.push(entry);
    }
}

bool placer::may_reserve(const job_group& group, const core::resources& size) const {
    if (this->backfill_only) {
        return false;
    }
    const double share = size.dominant_share(this->state.workers.largest_capacity());
    return group.is_gang ||
           (share >= large_task_share && this->ageing_steps(group.head().waiting_since) >= 1.0);
}

/// Returns whether a search for the group may succeed: no known limit blocks it, or it may get a reservation.
bool placer::is_eligible(const job_group& group) const {
    const auto tasks = admission::tasks_together(group, group.head());
    const auto size = this->rules.effective_size(group, tasks);
    if (this->rules.check_limits(group, size * static_cast<std::int64_t>(tasks)) != block_reason::none) {
        return false;
    }
    return this->probe_wanted || this->may_reserve(group, size) ||
           !this->state.misfits.fits_nowhere(size, group.pool.is_urgent());
}

/// Returns whether no job of a queue can start or get a reservation.
bool placer::is_blocked(team_queue& queue) const {
    if (queue.groups.empty()) {
        return true;
    }
    const auto& bounds = queue.bounds();
    if (this->probe_wanted || !this->state.misfits.fits_nowhere(bounds.smallest, queue.pool.is_urgent())) {
        return false;
    }
    const double share = bounds.largest.dominant_share(this->state.workers.largest_capacity());
    const bool aged = this->ageing_steps((*queue.groups.begin())->head().waiting_since) >= 1.0;
    return this->backfill_only || (!bounds.has_gang && (share < large_task_share || !aged));
}

const job_group* placer::first_eligible(team_queue& queue) const {
    if (this->is_blocked(queue)) {
        return nullptr;
    }
    const auto found = std::find_if(queue.groups.begin(), queue.groups.end(),
                                    [this](const job_group* group) { return this->is_eligible(*group); });
    return found == queue.groups.end() ? nullptr : *found;
}

/// Drops the oldest candidates of a pool until the first one may start, so that a job that cannot start does
/// not raise the effective priority of its pool.
void placer::refresh_oldest(pool_queues& queues) const {
    while (!queues.oldest.empty()) {
        auto top = queues.oldest.top();
        const auto* group = top.queue->candidate_round == this->state.placement_round
                                ? this->first_eligible(*top.queue)
                                : nullptr;
        if (group != nullptr && group->head().waiting_since == top.waiting_since) {
            return;
        }
        queues.oldest.pop();
        if (group != nullptr) {
            top.waiting_since = group->head().waiting_since;
            queues.oldest.push(top);
        }
    }
}

double placer::effective_priority(const pool_queues& queues) const {
    const double priority =
        queues.pool->policy == nullptr ? 0.0 : static_cast<double>(queues.pool->policy->priority);
    return priority + std::floor(this->ageing_steps(queues.oldest.top().waiting_since));
}

double placer::weighted_share(const pool_queues& queues) const {
    const auto weight = weight_of(queues.pool->policy == nullptr ? 1 : queues.pool->policy->weight);
    return queues.pool->allocated.dominant_share(this->state.workers.capacity()) / weight;
}

placer::pool_queues* placer::next_pool() {
    pool_queues* best = nullptr;
    std::tuple<bool, double, double> best_rank;
    for (auto& queues : this->pools) {
        this->refresh_oldest(queues);
        if (queues.teams.empty() || queues.oldest.empty()) {
            continue;
        }
        const std::tuple<bool, double, double> rank{
            queues.pool->is_urgent(), this->effective_priority(queues), -this->weighted_share(queues)};
        if (best == nullptr || rank > best_rank) {
            best = &queues;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<placement> placer::run(std::size_t max_placements) {
    std::vector<placement> placed;
    this->collect();
    while (placed.size() < max_placements) {
        auto* queues = this->next_pool();
        if (queues == nullptr) {
            break;
        }
        auto& queue = *queues->teams.top().queue;
        queues->teams.pop();
        const auto current = this->make_candidate(queue);
        if (!queues->teams.empty() && served_later{}(current, queues->teams.top())) {
            queues->teams.push(current); // Its share has grown since, so another team comes first.
            continue;
        }
        const bool started = this->try_queue(queue, placed);
        if (started && !queue.groups.empty()) {
            queues->teams.push(this->make_candidate(queue));
        } else {
            queue.candidate_round = 0;
        }
    }
    return placed;
}

bool placer::try_queue(team_queue& queue, std::vector<placement>& placed) {
    if (this->is_blocked(queue)) {
        return false;
    }
    for (auto* group : queue.groups) {
        if (this->is_eligible(*group) && this->try_group(*group, placed)) {
            return true;
        }
    }
    return false;
}

bool placer::try_group(job_group& group, std::vector<placement>& placed) {
    const auto size = this->rules.effective_size(group, admission::tasks_together(group, group.head()));
    if (!this->probe_wanted && this->state.misfits.fits_nowhere(size, group.pool.is_urgent())) {
        this->reserve(group, size);
        return false;
    }
    admission_result result;
    auto* job = this->next_job(group, result);
    if (job != nullptr) {
        this->start(group, *job, result, placed);
        return true;
    }
    this->record_blocked(group, result);
    return false;
}

/// Returns the first job of the group that may start, or nullptr. Later jobs are tried only if the earlier
/// ones have workers on which they failed or run too long to backfill before a reservation.
tracked_job* placer::next_job(job_group& group, admission_result& result) {
    std::size_t tried = 0;
    for (auto* job : group.jobs) {
        auto checked = this->rules.check(group, *job, this->backfill_only);
        const bool head = tried == 0;
        const auto blocked_by = checked.blocked_by;
        if (head || blocked_by == block_reason::none) {
            result = std::move(checked);
        }
        if (blocked_by == block_reason::none) {
            return job;
        }
        const bool job_specific = !job->failed_on.empty() || blocked_by == block_reason::reservation;
        if (!job_specific || ++tried >= max_jobs_tried) {
            return nullptr;
        }
    }
    return nullptr;
}

void placer::record_blocked(job_group& group, const admission_result& result) {
    group.blocked_by_reservation = result.blocked_by == block_reason::reservation;
    if (result.blocked_by != block_reason::no_capacity) {
        return;
    }
    if (!group.is_gang && group.head().failed_on.empty()) {
        this->state.misfits.add(result.size, group.pool.is_urgent());
    }
    if (this->may_reserve(group, result.size)) {
        this->reserve(group, result.size);
    }
}

/// Reserves capacity for the first job of a group that fits on no worker: a gang, or a large task that has
/// aged.
void placer::reserve(const job_group& group, const core::resources& size) {
    this->backfill_only = true;
    const auto& job = group.head();
    const auto tasks = admission::tasks_together(group, job);
    const auto& current = this->state.current_reservation;
    const bool is_valid = current.has_value() && current->job == job.spec.id && current->tasks == tasks &&
                          current->size == size &&
                          this->now - current->computed_at < this->state.options.reservation_max_age;
    if (is_valid) {
        return;
    }
    this->state.current_reservation =
        forecast(this->state, this->now).earliest_fit(size, tasks, group.pool.is_urgent());
    this->state.current_reservation->job = job.spec.id;
}

void placer::start(job_group& group, tracked_job& job, const admission_result& result,
                   std::vector<placement>& placed) {
    group.blocked_by_reservation = false;
    group.queue.last_served = this->now;
    if (this->state.current_reservation.has_value() && this->state.current_reservation->job == job.spec.id) {
        this->state.current_reservation.reset();
        this->backfill_only = false;
    }
    for (const auto row : result.rows) {
        const auto task = *job.waiting_tasks.begin();
        this->allocate(group, job, task, row, result);
        placed.push_back(
            {.job = job.spec.id, .task = task, .worker = this->state.workers.rows()[row].info.name});
    }
}

void placer::allocate(job_group& group, tracked_job& job, std::uint32_t task, row_index row,
                      const admission_result& result) {
    const auto& worker = this->state.workers.rows()[row].info.name;
    auto& added = this->state.allocations.add({.attempt = {.job = job.spec.id, .task = task},
                                               .previous_attempt = job.attempts[task].last_bound,
                                               .worker = worker,
                                               .row = row,
                                               .declared = job.spec.each,
                                               .size = result.size,
                                               .occupied = result.size,
                                               .since = this->now,
                                               .declared_run_time = job.spec.expected_run_time,
                                               .estimated_run_time = result.estimated_run_time,
                                               .kind = job.spec.kind,
                                               .idempotent = job.spec.idempotent,
                                               .urgent = group.pool.is_urgent(),
                                               .team = &group.team,
                                               .pool = &group.pool,
                                               .estimates = group.estimates,
                                               .reason = result.reason});
    if (this->state.current_reservation.has_value()) {
        this->state.current_reservation->charge(
            added, added.estimated_end(this->now, this->state.options.straggler_factor));
    }
    this->state.queue.mark_placed(job, task, worker);
}

} // namespace rattanmount::scheduling
