#include "scheduling/placer.h"

#include "scheduling/forecast.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

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

placer::candidate placer::make_candidate(job_group& group) const {
    const auto& head = group.head();
    const auto& team = group.team;
    const auto weight = weight_of(team.policy == nullptr ? 1 : team.policy->weight);
    auto unserved_since = head.since;
    const auto served = team.last_served.find(group.pool.name);
    if (served != team.last_served.end()) {
        unserved_since = std::max(unserved_since, served->second);
    }
    const double share = (team.held + team.remote).dominant_share(this->state.workers.capacity()) / weight;
    return {.share = share - share_per_step * this->steps(unserved_since),
            .since = head.since,
            .serial = head.serial,
            .group = &group};
}

bool placer::known_to_fit_nowhere(job_group& group) const {
    if (group.no_room_at == 0 || this->probe_wanted) {
        return false;
    }
    const auto size = this->rules.counted_size(group, 1);
    const bool not_smaller = group.no_room_size.fits_in(size);
    if (!not_smaller || this->state.workers.may_fit_since(group.no_room_at, size, group.pool.urgent())) {
        group.no_room_at = 0;
        return false;
    }
    group.no_room_at = this->state.workers.version();
    return true;
}

void placer::collect() {
    const auto& rows = this->state.workers.rows();
    this->probe_wanted = std::any_of(
        this->state.workers.probes().begin(), this->state.workers.probes().end(), [&](row_index row) {
            return std::none_of(rows[row].holdings.begin(), rows[row].holdings.end(),
                                [](const holding* what) { return what->reason.probe; });
        });
    pool_lane* lane = nullptr;
    for (const auto& [key, group] : this->state.queue.groups()) {
        if (group->jobs.empty()) {
            continue;
        }
        this->state.accounts.refresh(group->team);
        this->state.accounts.refresh(group->pool);
        if (this->known_to_fit_nowhere(*group)) {
            continue;
        }
        if (lane == nullptr || lane->pool != &group->pool) {
            lane = &this->lanes.emplace_back();
            lane->pool = &group->pool;
        }
        group->pass = this->state.pass;
        const auto made = this->make_candidate(*group);
        lane->teams.push(made);
        lane->oldest.push(made);
    }
}

void placer::drop_stale(pool_lane& lane) const {
    while (!lane.oldest.empty()) {
        const auto top = lane.oldest.top();
        const bool candidate_still = top.group->pass == this->state.pass && !top.group->jobs.empty();
        if (candidate_still && top.group->head().since == top.since) {
            return;
        }
        lane.oldest.pop();
        if (candidate_still) {
            lane.oldest.push(this->make_candidate(*top.group));
        }
    }
}

double placer::standing(const pool_lane& lane) const {
    const double priority =
        lane.pool->policy == nullptr ? 0.0 : static_cast<double>(lane.pool->policy->priority);
    return priority + (lane.oldest.empty() ? 0.0 : std::floor(this->steps(lane.oldest.top().since)));
}

double placer::share_of(const pool_lane& lane) const {
    const auto weight = weight_of(lane.pool->policy == nullptr ? 1 : lane.pool->policy->weight);
    return lane.pool->held.dominant_share(this->state.workers.capacity()) / weight;
}

placer::pool_lane* placer::next_lane() {
    pool_lane* best = nullptr;
    std::tuple<bool, double, double> best_rank;
    for (auto& lane : this->lanes) {
        if (lane.teams.empty()) {
            continue;
        }
        this->drop_stale(lane);
        const std::tuple<bool, double, double> rank{lane.pool->urgent(), this->standing(lane),
                                                    -this->share_of(lane)};
        if (best == nullptr || rank > best_rank) {
            best = &lane;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<placement> placer::run(std::size_t most) {
    std::vector<placement> placed;
    this->collect();
    while (placed.size() < most) {
        auto* lane = this->next_lane();
        if (lane == nullptr) {
            break;
        }
        const auto next = lane->teams.top();
        lane->teams.pop();
        const auto current = this->make_candidate(*next.group);
        if (!lane->teams.empty() && served_later{}(current, lane->teams.top())) {
            lane->teams.push(current); // Its team was served since it was queued: others come first.
            continue;
        }
        const bool started = this->try_group(*next.group, placed);
        if (started && !next.group->jobs.empty()) {
            lane->teams.push(this->make_candidate(*next.group));
        } else {
            next.group->pass = 0;
        }
    }
    return placed;
}

bool placer::try_group(job_group& group, std::vector<placement>& placed) {
    admission_result result;
    auto* job = this->next_job(group, result);
    if (job != nullptr) {
        this->start(group, *job, result, placed);
        return true;
    }
    this->note_failure(group, group.head(), result);
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

void placer::note_failure(job_group& group, const waiting_job& job, const admission_result& result) {
    group.behind_reservation = result.stopped_by == gate::reservation;
    if (result.stopped_by != gate::room) {
        return;
    }
    const double share = result.size.dominant_share(this->state.workers.largest_capacity());
    const bool large = group.gang || share >= large_task;
    if (!large && job.failed_on.empty()) {
        group.no_room_at = this->state.workers.version();
        group.no_room_size = result.size;
    }
    if (group.gang || (large && this->steps(job.since) >= 1.0)) {
        this->keep_room(group, job, result);
    }
}

/// Keeps room for the first gang, or large task that has aged, that fits nowhere.
void placer::keep_room(const job_group& group, const waiting_job& job, const admission_result& result) {
    if (std::exchange(this->room_is_kept, true)) {
        return;
    }
    const auto tasks = admission::tasks_together(group, job);
    const auto& kept = this->state.reserved;
    const bool stands = kept.has_value() && kept->job == job.spec.id && kept->tasks == tasks &&
                        kept->size == result.size &&
                        kept->spare.size() <= this->state.workers.rows().size() &&
                        this->now - kept->made < this->state.options.reservation_refresh;
    if (stands) {
        return;
    }
    this->state.reserved = forecast(this->state, this->now).earliest(result.size, tasks, group.pool.urgent());
    this->state.reserved->job = job.spec.id;
}

void placer::start(job_group& group, waiting_job& job, const admission_result& result,
                   std::vector<placement>& placed) {
    group.behind_reservation = false;
    group.team.last_served[group.pool.name] = this->now;
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
