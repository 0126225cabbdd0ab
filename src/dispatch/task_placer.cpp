#include "dispatch/task_placer.h"

#include "dispatch/run_manager.h"
#include "dispatch/step_order.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace rattanmount::dispatch {

namespace {

/// Weights of cost(), relative to a worker that is left entirely free, which costs 1.
constexpr double wrong_rack_cost = 4;
constexpr double failure_cost = 2;
constexpr double interference_cost = 1.5;
constexpr double failed_here_cost = 8;
constexpr double fast_worker_cost = 0.5; ///< Of using a worker of usual speed; less for slower ones.
/// Per share of the affordable time that a task takes beyond urgent_share.
constexpr double lateness_cost = 5;
constexpr double missing_cost = 10; ///< Per missing_share().

bool must_stay_in_one_rack(const live_step& step) {
    return step.request->one_rack && !step.may_span_racks;
}

bool has_label(const worker_entry& worker, const workflow::worker_label& label) {
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

double free_share(const core::resources& left, const core::resources& capacity) {
    double share = 0;
    int amounts = 0;
    const auto add = [&](std::int64_t part, std::int64_t whole) {
        if (whole > 0) {
            share += static_cast<double>(part) / static_cast<double>(whole);
            amounts++;
        }
    };
    add(left.millicores, capacity.millicores);
    add(left.memory_mb, capacity.memory_mb);
    add(left.accelerators, capacity.accelerators);
    return amounts == 0 ? 0 : share / amounts;
}

std::int64_t times_fitting(std::int64_t amount, std::int64_t available) {
    return amount <= 0 ? std::numeric_limits<std::int64_t>::max()
                       : std::max<std::int64_t>(available, 0) / amount;
}

/// A worker that could take tasks of a gang.
struct gang_candidate {
    double cost;
    const worker_state* worker;
    std::uint32_t count; ///< How many tasks it could take.
};

/// @return a worker for each task of a gang by index, the cheapest ones; empty if there is not one for every
/// task.
std::vector<core::worker_id> cheapest_places(const live_step& step, std::vector<gang_candidate> candidates) {
    std::sort(candidates.begin(), candidates.end(),
              [](const gang_candidate& a, const gang_candidate& b) { return a.cost < b.cost; });
    std::vector<core::worker_id> chosen;
    for (const auto& one : candidates) {
        const auto wanted = step.tasks.size() - chosen.size();
        chosen.insert(chosen.end(), std::min<std::size_t>(one.count, wanted), one.worker->entry.worker);
    }
    return chosen.size() == step.tasks.size() ? chosen : std::vector<core::worker_id>{};
}

/// Tasks that need at most this share of the time that their job can afford do not need a fast worker.
constexpr double urgent_share = 0.5;

/// @return the time that a task of the step may take if its job is to end within its latency objective, or
/// else while it is still of use; empty if the speed of the worker makes no difference to that: the step has
/// no estimate or no end that could be late, or its job is overdue in any case.
std::optional<core::milliseconds> affordable_time(const live_step& step, core::steady_time now) {
    if (step.request->long_running || step.request->uses_leftover || step.request->estimate.count() == 0) {
        return std::nullopt;
    }
    const auto elapsed = std::chrono::duration_cast<core::milliseconds>(now - step.due_at);
    const auto later_steps = step.remaining_work - step.request->estimate;
    const auto affordable = step.job->latency_objective - elapsed - later_steps;
    if (affordable >= step.request->estimate) {
        return affordable;
    }
    const auto of_use = affordable + step.job->latency_objective * (overload::late_factor - 1);
    return of_use >= step.request->estimate ? std::optional{of_use} : std::nullopt;
}

} // namespace

bool task_placer::is_eligible(const live_step& step, const worker_state& worker, core::steady_time now) {
    return worker.accepts_starts(now) && worker.entry.service == step.job->policy().service &&
           has_label(worker.entry, step.request->required_label);
}

bool task_placer::suits(const live_step& step, const worker_state& worker, core::steady_time now) const {
    return is_eligible(step, worker, now) && this->tasks_that_fit(step, worker) > 0;
}

bool task_placer::would_suit(const live_step& step, const worker_state& worker, const core::resources& freed,
                             core::steady_time now) {
    return is_eligible(step, worker, now) && tasks_within(step, worker, worker.free_capacity() + freed) > 0;
}

bool task_placer::permitted(const live_step& step, const worker_state& worker, core::steady_time now) const {
    if (!step.job->policy().advice) {
        return true;
    }
    return known_allowed(step, worker) && now < step.advice.allowed.at(worker.entry.worker).expires_at;
}

bool task_placer::known_allowed(const live_step& step, const worker_state& worker) {
    const auto found = step.advice.allowed.find(worker.entry.worker);
    return found != step.advice.allowed.end() && found->second.incarnation == worker.entry.incarnation;
}

std::uint32_t task_placer::tasks_that_fit(const live_step& step, const worker_state& worker) const {
    return tasks_within(step, worker, worker.free_capacity());
}

std::uint32_t task_placer::tasks_that_fit_when_idle(const live_step& step, const worker_state& worker,
                                                    core::steady_time now) const {
    return is_eligible(step, worker, now) ? tasks_within(step, worker, worker.capacity_when_idle()) : 0;
}

std::uint32_t task_placer::tasks_within(const live_step& step, const worker_state& worker,
                                        const core::resources& available) {
    const auto amount = reserved_resources(*step.request);
    auto count = std::min({times_fitting(amount.millicores, available.millicores),
                           times_fitting(amount.memory_mb, available.memory_mb),
                           times_fitting(amount.accelerators, available.accelerators),
                           static_cast<std::int64_t>(step.tasks.size())});
    if (step.request->most_per_worker > 0) {
        const auto found = step.runs_per_worker.find(worker.entry.worker);
        const std::int64_t there = found == step.runs_per_worker.end() ? 0 : found->second;
        count = std::min(count, static_cast<std::int64_t>(step.request->most_per_worker) - there);
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

double task_placer::missing_share(const live_step& step, const worker_state& worker) {
    const auto missing = reserved_resources(*step.request) - worker.free_capacity();
    const auto& capacity = worker.entry.capacity;
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole <= 0 || part <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return share(missing.millicores, capacity.millicores) + share(missing.memory_mb, capacity.memory_mb) +
           share(missing.accelerators, capacity.accelerators);
}

placement_cost task_placer::cost_terms(const live_step& step, const worker_state& worker,
                                       core::steady_time now) const {
    const auto amount = reserved_resources(*step.request);
    placement_cost cost;
    if (step.request->uses_leftover) {
        auto left = worker.free_capacity();
        left.millicores -= worker.leftover_millicores;
        cost.room = 1 - free_share(left, worker.entry.capacity);
        cost.interference = interference_cost * worker.long_running_runs;
    } else {
        cost.room = free_share(worker.free_capacity() - amount, worker.entry.capacity);
        cost.interference = step.request->long_running ? interference_cost * worker.leftover_runs : 0;
    }
    if (!step.request->data_rack.empty() && step.request->data_rack != worker.entry.rack) {
        cost.wrong_rack = wrong_rack_cost;
    }
    cost.failures = failure_cost * worker.failures.value_at(now);
    cost.speed = this->speed_cost(step, worker, now);
    return cost;
}

double task_placer::speed_cost(const live_step& step, const worker_state& worker,
                               core::steady_time now) const {
    const auto factor = this->state.speeds.factor_of(worker.entry);
    const auto cost = fast_worker_cost / factor;
    const auto affordable = affordable_time(step, now);
    if (!affordable) {
        return cost;
    }
    const auto ratio = this->state.speeds.estimate_ratio(step.job->policy().queue);
    const auto share = step.request->estimate * ratio * factor / *affordable;
    return cost + lateness_cost * std::max(share - urgent_share, 0.0);
}

double task_placer::gang_cost(const live_step& step, const worker_state& worker,
                              core::steady_time now) const {
    return missing_cost * missing_share(step, worker) + this->cost(step, worker, now);
}

std::optional<core::worker_id> task_placer::choose(const live_step& step, std::uint32_t index,
                                                   core::steady_time now) const {
    best_choice best;
    this->for_each_allowed(
        step, [&](const worker_state& worker) { this->consider(step, index, worker, now, best); });
    return best.worker;
}

void task_placer::for_each_allowed(const live_step& step,
                                   const std::function<void(const worker_state&)>& visit) const {
    if (!step.job->policy().advice) {
        for (const auto& [id, worker] : this->state.workers) {
            visit(worker);
        }
        return;
    }
    for (const auto& [id, ticket] : step.advice.allowed) {
        const auto worker = this->state.workers.find(id);
        if (worker != this->state.workers.end() && known_allowed(step, worker->second)) {
            visit(worker->second);
        }
    }
}

std::optional<core::worker_id> task_placer::choose_among(const live_step& step, std::uint32_t index,
                                                         const std::set<core::worker_id>& among,
                                                         core::steady_time now) const {
    best_choice best;
    for (const auto& id : among) {
        const auto worker = this->state.workers.find(id);
        if (worker != this->state.workers.end()) {
            this->consider(step, index, worker->second, now, best);
        }
    }
    return best.worker;
}

void task_placer::consider(const live_step& step, std::uint32_t index, const worker_state& worker,
                           core::steady_time now, best_choice& best) const {
    if (!this->can_take(step, worker, now)) {
        return;
    }
    const bool failed_here = step.tasks[index].failed_workers.contains(worker.entry.worker);
    const auto cost = this->cost(step, worker, now) + (failed_here ? failed_here_cost : 0);
    if (cost < best.cost) {
        best = {.worker = worker.entry.worker, .cost = cost};
    }
}

std::vector<core::worker_id> task_placer::choose_gang(const live_step& step, core::steady_time now) const {
    return this->choose_for_gang(step, now, [&](const worker_state& worker) {
        return this->can_take(step, worker, now) ? this->tasks_that_fit(step, worker) : 0;
    });
}

std::vector<core::worker_id> task_placer::choose_places_to_keep(const live_step& step,
                                                                core::steady_time now) const {
    return this->choose_for_gang(step, now, [&](const worker_state& worker) {
        return this->tasks_that_fit_when_idle(step, worker, now);
    });
}

std::vector<core::worker_id> task_placer::kept_places_with_room(const live_step& step) const {
    std::vector<core::worker_id> found;
    for (const auto& id : step.kept_workers) {
        const auto worker = this->state.workers.find(id);
        if (worker != this->state.workers.end() && worker->second.has_room_for_kept_places()) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<core::worker_id> task_placer::choose_free_places(const live_step& step,
                                                             core::steady_time now) const {
    auto chosen = this->kept_places_with_room(step);
    if (chosen.size() == step.kept_workers.size() || must_stay_in_one_rack(step)) {
        return {};
    }
    this->for_each_allowed(step, [&](const worker_state& worker) {
        if (this->suits(step, worker, now)) {
            const auto wanted = step.tasks.size() - chosen.size();
            const auto count = std::min<std::size_t>(this->tasks_that_fit(step, worker), wanted);
            chosen.insert(chosen.end(), count, worker.entry.worker);
        }
    });
    return chosen.size() == step.tasks.size() ? chosen : std::vector<core::worker_id>{};
}

core::rack_id task_placer::rack_group(const live_step& step, const worker_state& worker) {
    return must_stay_in_one_rack(step) ? worker.entry.rack : core::rack_id{};
}

bool task_placer::some_rack_can_hold(const live_step& step) const {
    std::map<core::rack_id, std::size_t> places;
    for (const auto& [id, worker] : this->state.workers) {
        const auto& entry = worker.entry;
        if (worker.listed && !entry.draining && entry.service == step.job->policy().service &&
            has_label(entry, step.request->required_label) && !step.advice.denied.contains(id)) {
            places[entry.rack] += tasks_within(step, worker, worker.capacity_beside_services());
        }
    }
    return std::any_of(places.begin(), places.end(),
                       [&step](const auto& rack) { return rack.second >= step.tasks.size(); });
}

std::vector<core::worker_id>
task_placer::choose_for_gang(const live_step& step, core::steady_time now,
                             const std::function<std::uint32_t(const worker_state&)>& fitting) const {
    std::map<core::rack_id, std::vector<gang_candidate>> racks;
    std::vector<gang_candidate> all;
    this->for_each_allowed(step, [&](const worker_state& worker) {
        if (const auto count = fitting(worker); count > 0) {
            const gang_candidate one{this->gang_cost(step, worker, now), &worker, count};
            all.push_back(one);
            if (step.request->one_rack) {
                racks[worker.entry.rack].push_back(one);
            }
        }
    });
    for (auto& [rack, candidates] : racks) {
        if (auto chosen = cheapest_places(step, std::move(candidates)); !chosen.empty()) {
            return chosen;
        }
    }
    return must_stay_in_one_rack(step) ? std::vector<core::worker_id>{}
                                       : cheapest_places(step, std::move(all));
}

} // namespace rattanmount::dispatch
