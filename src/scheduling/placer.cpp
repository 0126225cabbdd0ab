#include "scheduling/placer.h"

#include "scheduling/forecast.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattanmount::scheduling {

namespace {

/// What one ageing time without service counts in a team's share.
constexpr double share_per_step = 0.1;
/// Jobs of a group that are tried where workers that failed the first are avoided.
constexpr std::size_t jobs_tried = 8;
/// A single task of at least this share of a worker may have room kept for it, once it has aged one step.
constexpr double large_task = 0.25;

double weight_of(std::uint32_t weight) {
    return static_cast<double>(std::max(weight, 1U));
}

} // namespace

bool placer::served_later::operator()(const candidate& left, const candidate& right) const {
    return std::tie(left.share, left.since, left.serial) > std::tie(right.share, right.since, right.serial);
}

placer::placer(shard_state& state, core::steady_time now) : state(state), now(now), rules(state, now) {}

double placer::steps(core::steady_time since) const {
    const std::chrono::duration<double> waited = this->now - since;
    const std::chrono::duration<double> step = this->state.options.ageing;
    return step.count() <= 0.0 ? 0.0 : std::max(0.0, waited / step);
}

placer::candidate placer::make_candidate(team_lane& lane) const {
    const auto& head = (*lane.groups.begin())->head();
    const auto& team = lane.team;
    const auto weight = weight_of(team.policy == nullptr ? 1 : team.policy->weight);
    const auto unserved_since = std::max(head.since, lane.last_served.value_or(head.since));
    const double share = (team.held + team.remote).dominant_share(this->state.workers.capacity()) / weight;
    return {.share = share - share_per_step * this->steps(unserved_since),
            .since = head.since,
            .serial = head.serial,
            .lane = &lane};
}

void placer::collect() {
    const auto& rows = this->state.workers.rows();
    const auto& probes = this->state.workers.probes();
    this->probe_wanted = std::any_of(probes.begin(), probes.end(), [&](row_index row) {
        return std::none_of(rows[row].holdings.begin(), rows[row].holdings.end(),
                            [](const holding* what) { return what->reason.probe; });
    });
    for (const auto& [key, lane] : this->state.queue.lanes()) {
        if (lane->groups.empty()) {
            continue;
        }
        this->state.accounts.refresh(lane->team);
        this->state.accounts.refresh(lane->pool);
        if (this->pools.empty() || this->pools.back().pool != &lane->pool) {
            this->pools.emplace_back().pool = &lane->pool;
        }
        lane->pass = this->state.pass;
        const auto made = this->make_candidate(*lane);
        this->pools.back().teams.push(made);
        this->pools.back().oldest.push(made);
    }
}

bool placer::may_keep_room(const job_group& group, const core::resources& size) const {
    if (this->room_is_kept) {
        return false;
    }
    const double share = size.dominant_share(this->state.workers.largest_capacity());
    return group.gang || (share >= large_task && this->steps(group.head().since) >= 1.0);
}

/// Whether a group is worth a search: nothing is known yet to stop it, or room may be kept for it.
bool placer::eligible(const job_group& group) const {
    const auto tasks = admission::tasks_together(group, group.head());
    const auto size = this->rules.counted_size(group, tasks);
    if (this->rules.before_room(group, size * static_cast<std::int64_t>(tasks)) != gate::open) {
        return false;
    }
    return this->probe_wanted || this->may_keep_room(group, size) ||
           !this->state.failures.fits_nowhere(size, group.pool.urgent());
}

/// Whether nothing of a lane can start or have room kept for it.
bool placer::blocked(team_lane& lane) const {
    if (lane.groups.empty()) {
        return true;
    }
    const auto& bounds = lane.bounds();
    if (this->probe_wanted || !this->state.failures.fits_nowhere(bounds.smallest, lane.pool.urgent())) {
        return false;
    }
    const double share = bounds.largest.dominant_share(this->state.workers.largest_capacity());
    const bool aged = this->steps((*lane.groups.begin())->head().since) >= 1.0;
    return this->room_is_kept || (!bounds.gangs && (share < large_task || !aged));
}

const job_group* placer::first_eligible(team_lane& lane) const {
    if (this->blocked(lane)) {
        return nullptr;
    }
    const auto found = std::find_if(lane.groups.begin(), lane.groups.end(),
                                    [this](const job_group* group) { return this->eligible(*group); });
    return found == lane.groups.end() ? nullptr : *found;
}

/// Lets the oldest candidate of a pool be one that may start, so that a job which cannot start does not raise
/// the standing of its pool.
void placer::drop_stale(pool_lanes& lanes) const {
    while (!lanes.oldest.empty()) {
        auto top = lanes.oldest.top();
        const auto* group = top.lane->pass == this->state.pass ? this->first_eligible(*top.lane) : nullptr;
        if (group != nullptr && group->head().since == top.since) {
            return;
        }
        lanes.oldest.pop();
        if (group != nullptr) {
            top.since = group->head().since;
            lanes.oldest.push(top);
        }
    }
}

double placer::standing(const pool_lanes& lanes) const {
    const double priority =
        lanes.pool->policy == nullptr ? 0.0 : static_cast<double>(lanes.pool->policy->priority);
    return priority + std::floor(this->steps(lanes.oldest.top().since));
}

double placer::share_of(const pool_lanes& lanes) const {
    const auto weight = weight_of(lanes.pool->policy == nullptr ? 1 : lanes.pool->policy->weight);
    return lanes.pool->held.dominant_share(this->state.workers.capacity()) / weight;
}

placer::pool_lanes* placer::next_pool() {
    pool_lanes* best = nullptr;
    std::tuple<bool, double, double> best_rank;
    for (auto& lanes : this->pools) {
        this->drop_stale(lanes);
        if (lanes.teams.empty() || lanes.oldest.empty()) {
            continue;
        }
        const std::tuple<bool, double, double> rank{lanes.pool->urgent(), this->standing(lanes),
                                                    -this->share_of(lanes)};
        if (best == nullptr || rank > best_rank) {
            best = &lanes;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<placement> placer::run(std::size_t most) {
    std::vector<placement> placed;
    this->collect();
    while (placed.size() < most) {
        auto* lanes = this->next_pool();
        if (lanes == nullptr) {
            break;
        }
        auto& lane = *lanes->teams.top().lane;
        lanes->teams.pop();
        const auto current = this->make_candidate(lane);
        if (!lanes->teams.empty() && served_later{}(current, lanes->teams.top())) {
            lanes->teams.push(current); // Its team was served since it was queued: others come first.
            continue;
        }
        const bool started = this->try_lane(lane, placed);
        if (started && !lane.groups.empty()) {
            lanes->teams.push(this->make_candidate(lane));
        } else {
            lane.pass = 0;
        }
    }
    return placed;
}

bool placer::try_lane(team_lane& lane, std::vector<placement>& placed) {
    if (this->blocked(lane)) {
        return false;
    }
    for (auto* group : lane.groups) {
        if (this->eligible(*group) && this->try_group(*group, placed)) {
            return true;
        }
    }
    return false;
}

bool placer::try_group(job_group& group, std::vector<placement>& placed) {
    const auto size = this->rules.counted_size(group, admission::tasks_together(group, group.head()));
    if (!this->probe_wanted && this->state.failures.fits_nowhere(size, group.pool.urgent())) {
        this->keep_room(group, size);
        return false;
    }
    admission_result result;
    auto* job = this->next_job(group, result);
    if (job != nullptr) {
        this->start(group, *job, result, placed);
        return true;
    }
    this->note_failure(group, result);
    return false;
}

/// The head of the group, or a later job where the head is stopped only by workers that failed it or because
/// it would run too long beside a reservation.
waiting_job* placer::next_job(job_group& group, admission_result& result) {
    std::size_t tried = 0;
    for (auto* job : group.jobs) {
        auto verdict = this->rules.check(group, *job, this->room_is_kept);
        const bool head = tried == 0;
        const auto stopped_by = verdict.stopped_by;
        if (head || stopped_by == gate::open) {
            result = std::move(verdict);
        }
        if (stopped_by == gate::open) {
            return job;
        }
        const bool own_reason = !job->failed_on.empty() || stopped_by == gate::reservation;
        if (!own_reason || ++tried >= jobs_tried) {
            return nullptr;
        }
    }
    return nullptr;
}

void placer::note_failure(job_group& group, const admission_result& result) {
    group.behind_reservation = result.stopped_by == gate::reservation;
    if (result.stopped_by != gate::room) {
        return;
    }
    if (!group.gang && group.head().failed_on.empty()) {
        this->state.failures.note(result.size, group.pool.urgent());
    }
    if (this->may_keep_room(group, result.size)) {
        this->keep_room(group, result.size);
    }
}

/// Keeps room for the head of a group: a gang, or a large task that has aged, that fits nowhere.
void placer::keep_room(const job_group& group, const core::resources& size) {
    this->room_is_kept = true;
    const auto& job = group.head();
    const auto tasks = admission::tasks_together(group, job);
    const auto& kept = this->state.reserved;
    const bool stands = kept.has_value() && kept->job == job.spec.id && kept->tasks == tasks &&
                        kept->size == size &&
                        this->now - kept->made < this->state.options.reservation_refresh;
    if (stands) {
        return;
    }
    this->state.reserved = forecast(this->state, this->now).earliest(size, tasks, group.pool.urgent());
    this->state.reserved->job = job.spec.id;
}

void placer::start(job_group& group, waiting_job& job, const admission_result& result,
                   std::vector<placement>& placed) {
    group.behind_reservation = false;
    group.lane.last_served = this->now;
    if (this->state.reserved.has_value() && this->state.reserved->job == job.spec.id) {
        this->state.reserved.reset();
        this->room_is_kept = false;
    }
    for (const auto row : result.rows) {
        const auto task = *job.waiting.begin();
        this->hold(group, job, task, row, result);
        placed.push_back(
            {.job = job.spec.id, .task = task, .worker = this->state.workers.rows()[row].info.name});
    }
}

void placer::hold(job_group& group, waiting_job& job, std::uint32_t task, row_index row,
                  const admission_result& result) {
    const auto& worker = this->state.workers.rows()[row].info.name;
    auto& held = this->state.holdings.hold({.attempt = {.job = job.spec.id, .task = task},
                                            .previous_attempt = job.attempts[task].bound,
                                            .worker = worker,
                                            .row = row,
                                            .declared = job.spec.each,
                                            .size = result.size,
                                            .occupied = result.size,
                                            .since = this->now,
                                            .declared_time = job.spec.expected_run_time,
                                            .expected_time = result.expected_time,
                                            .kind = job.spec.kind,
                                            .idempotent = job.spec.idempotent,
                                            .urgent = group.pool.urgent(),
                                            .team = &group.team,
                                            .pool = &group.pool,
                                            .history = group.history,
                                            .reason = result.reason});
    if (this->state.reserved.has_value()) {
        this->state.reserved->note(held, held.expected_end(this->now, this->state.options.straggler_factor));
    }
    this->state.queue.take(job, task, worker);
}

} // namespace rattanmount::scheduling
