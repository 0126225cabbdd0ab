#include "scheduling/preemption_planner.h"

#include "scheduling/dimension.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanmount::scheduling {

namespace {

/// Urgent tasks considered in one call.
constexpr std::size_t max_urgent_tasks = 1024;
/// Urgent tasks for which resources are freed in one call.
constexpr std::size_t max_plans = 16;

/// Returns whether a throttle frees anything: the task uses more than its size and has no preemption pending.
bool exceeds_size(const allocation& alloc) {
    return alloc.occupied != alloc.size && !alloc.requested_preemption.has_value();
}

/// Returns what the preemption already requested will free.
core::resources pending_release(const allocation& alloc) {
    return *alloc.requested_preemption == preemption_kind::throttle ? alloc.occupied - alloc.size
                                                                    : alloc.occupied;
}

} // namespace

preemption_planner::preemption_planner(shard_state& state, core::steady_time now)
    : state(state), now(now), rules(state, now), free_by_row(state.workers.free_by_row(true)) {}

std::vector<preemption> preemption_planner::run() {
    std::vector<preemption> preemptions;
    this->escalate(preemptions);
    std::size_t plans = 0;
    std::optional<core::resources> infeasible_size;
    for (const auto& task : this->urgent_tasks()) {
        if (plans == max_plans) {
            break;
        }
        if (this->claim_free_capacity(task) || task.size == infeasible_size) {
            continue;
        }
        const auto selected = this->cheapest_plan(task);
        if (!selected.has_value()) {
            infeasible_size = task.size;
            continue;
        }
        this->apply(task, *selected, preemptions);
        ++plans;
    }
    return preemptions;
}

bool preemption_planner::is_still_needed(const allocation& alloc) const {
    const auto* job = this->state.queue.find(alloc.preempted_for);
    return job != nullptr && !job->waiting_tasks.empty();
}

/// Stops tasks that did not end within the checkpoint timeout. Counts what pending preemptions will free.
void preemption_planner::escalate(std::vector<preemption>& preemptions) {
    for (auto& [attempt, alloc] : this->state.allocations.all()) {
        if (!alloc.requested_preemption.has_value() || alloc.row == no_row) {
            continue;
        }
        if (!this->is_still_needed(alloc) && *alloc.requested_preemption == preemption_kind::throttle) {
            alloc.requested_preemption.reset();
            continue;
        }
        if (this->state.workers.rows()[alloc.row].is_schedulable()) {
            this->free_by_row[alloc.row] += pending_release(alloc);
        }
        const bool timed_out =
            this->now - alloc.preemption_requested_at >= this->state.options.checkpoint_timeout;
        if (*alloc.requested_preemption == preemption_kind::checkpoint_and_stop && timed_out &&
            this->is_still_needed(alloc)) {
            alloc.requested_preemption = preemption_kind::stop;
            alloc.preemption_requested_at = this->now;
            preemptions.push_back({.attempt = attempt,
                                   .worker = alloc.worker,
                                   .kind = preemption_kind::stop,
                                   .for_job = alloc.preempted_for});
        }
    }
}

std::vector<preemption_planner::unplaced_task> preemption_planner::urgent_tasks() {
    std::vector<unplaced_task> found;
    for (const auto& [key, queue] : this->state.queue.team_queues()) {
        this->state.accounts.refresh(queue->pool);
        if (!queue->pool.is_urgent()) {
            continue;
        }
        this->state.accounts.refresh(queue->team);
        for (const auto* group : queue->groups) {
            this->add_urgent_tasks(*group, found);
        }
    }
    return found;
}

void preemption_planner::add_urgent_tasks(const job_group& group, std::vector<unplaced_task>& found) const {
    const auto waits_long_enough = [this](const tracked_job& job) {
        return this->now - job.waiting_since >= this->state.options.preempt_after;
    };
    if (!waits_long_enough(group.head())) {
        return;
    }
    const auto result = this->rules.check(group, group.head(), false);
    if (result.blocked_by != block_reason::no_capacity &&
        result.blocked_by != block_reason::only_failed_workers) {
        return;
    }
    for (const auto* job : group.jobs) {
        if (!waits_long_enough(*job) || found.size() >= max_urgent_tasks) {
            return;
        }
        const auto tasks = std::min(job->waiting_tasks.size(), max_urgent_tasks - found.size());
        found.insert(found.end(), tasks, {.job = job->spec.id, .size = result.size});
    }
}

/// Claims resources for a task that are free or about to be freed; returns false if there are not enough.
/// Tasks of the same size follow one another, so the search continues where the last one ended.
bool preemption_planner::claim_free_capacity(const unplaced_task& task) {
    if (task.size != this->searched_size) {
        this->searched_size = task.size;
        this->searched_rows = 0;
    }
    for (; this->searched_rows < this->free_by_row.size(); ++this->searched_rows) {
        auto& free = this->free_by_row[this->searched_rows];
        if (task.size.fits_in(free)) {
            free -= task.size;
            return true;
        }
    }
    return false;
}

bool preemption_planner::is_preemptible(const allocation& alloc) const {
    this->state.accounts.refresh(*alloc.pool);
    const auto* policy = alloc.pool->policy;
    const bool allowed = policy != nullptr && policy->preemptible && !policy->urgent;
    const bool is_bound = alloc.attempt.attempt > 0;
    const bool is_stopping =
        alloc.requested_preemption.has_value() && *alloc.requested_preemption != preemption_kind::throttle;
    return allowed && is_bound && !is_stopping;
}

double preemption_planner::lost_work(const allocation& alloc) const {
    const std::chrono::duration<double> elapsed = this->now - alloc.since;
    const double share = alloc.size.dominant_share(this->state.workers.largest_capacity());
    const bool is_straggler = alloc.is_straggler(this->now, this->state.options.straggler_factor);
    // Above 0, so that throttles, which cost 0, come first.
    constexpr double min_cost = 1e-6;
    return min_cost + (is_straggler ? 0.0 : std::max(0.0, elapsed.count())) * share;
}

std::optional<preemption_planner::plan> preemption_planner::plan_for(row_index row,
                                                                     const unplaced_task& task) const {
    const auto& worker = this->state.workers.rows()[row];
    if (!worker.is_schedulable() || !task.size.fits_in(worker.info.capacity)) {
        return std::nullopt;
    }
    plan result{.row = row};
    auto free = this->free_by_row[row];
    for (const auto& candidate : this->possible_steps(worker)) {
        if (task.size.fits_in(free)) {
            break;
        }
        free += candidate.freed;
        result.steps.push_back(candidate);
    }
    if (!task.size.fits_in(free)) {
        return std::nullopt;
    }
    preemption_planner::drop_unneeded(result, free, task.size);
    for (const auto& selected : result.steps) {
        result.cost += selected.cost;
    }
    return result;
}

/// Returns the possible steps on one worker by cost: throttles, which cost nothing, then checkpoints.
std::vector<preemption_planner::step> preemption_planner::possible_steps(const worker_row& worker) const {
    std::vector<step> steps;
    for (auto* alloc : worker.allocations) {
        if (!this->is_preemptible(*alloc)) {
            continue;
        }
        const bool throttled = alloc->requested_preemption.has_value();
        if (exceeds_size(*alloc)) {
            steps.push_back({.alloc = alloc,
                             .kind = preemption_kind::throttle,
                             .freed = alloc->occupied - alloc->size,
                             .cost = 0.0});
        }
        if (alloc->idempotent) {
            const bool frees_all = !throttled && !exceeds_size(*alloc);
            steps.push_back({.alloc = alloc,
                             .kind = preemption_kind::checkpoint_and_stop,
                             .freed = frees_all ? alloc->occupied : alloc->size,
                             .cost = this->lost_work(*alloc)});
        }
    }
    std::sort(steps.begin(), steps.end(), [](const step& left, const step& right) {
        return std::tie(left.cost, left.alloc->attempt) < std::tie(right.cost, right.alloc->attempt);
    });
    return steps;
}

/// Removes steps that are not needed to free enough, the most expensive first.
void preemption_planner::drop_unneeded(plan& result, core::resources free, const core::resources& size) {
    for (auto index = result.steps.size(); index-- > 0;) {
        const auto without = free - result.steps[index].freed;
        if (size.fits_in(without)) {
            free = without;
            result.steps.erase(result.steps.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
}

std::optional<preemption_planner::plan> preemption_planner::cheapest_plan(const unplaced_task& task) const {
    std::optional<plan> best;
    for (row_index row = 0; row < this->free_by_row.size(); ++row) {
        auto result = this->plan_for(row, task);
        if (result.has_value() && (!best.has_value() || result->cost < best->cost)) {
            best = std::move(result);
        }
    }
    return best;
}

void preemption_planner::apply(const unplaced_task& task, const plan& selected,
                               std::vector<preemption>& preemptions) {
    for (const auto& [alloc, kind, freed, cost] : selected.steps) {
        this->free_by_row[selected.row] += freed;
        alloc->requested_preemption = kind;
        alloc->preemption_requested_at = this->now;
        alloc->preempted_for = task.job;
        preemptions.push_back(
            {.attempt = alloc->attempt, .worker = alloc->worker, .kind = kind, .for_job = task.job});
    }
    this->free_by_row[selected.row] -= task.size;
    this->searched_rows = std::min<std::size_t>(this->searched_rows, selected.row);
}

} // namespace rattanmount::scheduling
