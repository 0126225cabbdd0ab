#include "dispatch/preemption.h"

#include "dispatch/step_order.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Runs are stopped only for steps of this priority, the highest.
constexpr std::uint32_t preempting_priority = 0;
/// Room is made on at most one in so many workers at a time, but on at least `least_pending`.
constexpr std::size_t workers_per_pending_one = 8;
constexpr std::size_t least_pending = 1;
/// Time between two searches for the same step.
constexpr core::milliseconds search_interval{50};
/// A stop that has not led to an end by then has probably been lost; its room is no longer expected.
constexpr core::milliseconds longest_stop{1000};
/// Time until a run that goes on from a checkpoint works again.
constexpr core::milliseconds restart_time{200};

double core_seconds(const live_step& step, core::steady_time::duration time) {
    constexpr double millicores_per_core = 1000;
    return static_cast<double>(step.request->each.millicores) / millicores_per_core *
           std::chrono::duration<double>(time).count();
}

/// @return the work that is lost if a run is stopped now.
double loss_of_stop(const live_step& step, const live_run& run, core::steady_time now) {
    // Tasks that save checkpoints also save one when they are stopped.
    const auto spent = run.answered_at ? now - *run.answered_at : core::steady_time::duration{0};
    return core_seconds(step, step.request->checkpoints ? core::steady_time::duration{restart_time}
                                                        : spent + restart_time);
}

} // namespace

preemption::preemption(dispatch_state& state, run_manager& runs, const task_placer& selector,
                       start_check may_start)
    : state(state), runs(runs), selector(selector), may_start(std::move(may_start)) {}

void preemption::reset() {
    this->pending.clear();
    this->search_again_at.clear();
}

void preemption::tick(core::steady_time now) {
    std::erase_if(this->pending, [&](const auto& entry) {
        const auto& [id, stopped] = entry;
        const auto worker = this->state.workers.find(id);
        if (worker == this->state.workers.end() || now >= stopped.stopped_at + longest_stop) {
            return true;
        }
        return std::none_of(stopped.runs.begin(), stopped.runs.end(),
                            [&](const workflow::run_name& run) { return worker->second.runs.contains(run); });
    });
    std::erase_if(this->search_again_at, [now](const auto& entry) { return now >= entry.second; });
}

void preemption::make_room(const live_step& step, core::steady_time now) {
    if (!this->may_preempt(step, now)) {
        return;
    }
    this->search_again_at[step.name] = now + search_interval;
    const auto most = std::max(least_pending, this->state.workers.size() / workers_per_pending_one);
    auto wanted = step.waiting.size() - std::min(step.waiting.size(), this->pending_for(step));
    if (wanted == 0 || this->pending.size() >= most) {
        return;
    }
    for (const auto& chosen : this->find_plans(step, now)) {
        if (wanted == 0 || this->pending.size() >= most || !this->state.orders.has_room()) {
            return;
        }
        this->carry_out(step, chosen, now);
        wanted--;
    }
}

bool preemption::may_preempt(const live_step& step, core::steady_time now) const {
    if (!this->enabled || step.waiting.empty() || step.job->policy().priority != preempting_priority ||
        step.job->beyond_rate || step.request->gang || step.request->long_running ||
        step.request->uses_leftover || this->search_again_at.contains(step.name)) {
        return false;
    }
    const auto stop_time = this->state.options.max_stop_duration;
    return overload::prospect_after(waiting_work_of(step, now), stop_time) == overload::prospect::on_time &&
           this->may_start(step, step.tasks[step.waiting.front()], now);
}

std::size_t preemption::pending_for(const live_step& step) const {
    return static_cast<std::size_t>(
        std::count_if(this->pending.begin(), this->pending.end(),
                      [&](const auto& entry) { return entry.second.beneficiary == step.name; }));
}

std::vector<preemption::plan> preemption::find_plans(const live_step& step, core::steady_time now) {
    std::vector<plan> plans;
    bool has_room = false;
    this->selector.for_each_allowed(step, [&](const worker_state& worker) {
        has_room = has_room || this->selector.can_take(step, worker, now);
        if (auto found = has_room ? std::nullopt : this->plan_for(step, worker, now)) {
            plans.push_back(std::move(*found));
        }
    });
    if (has_room) {
        return {};
    }
    std::sort(plans.begin(), plans.end(),
              [](const plan& a, const plan& b) { return a.lost_core_seconds < b.lost_core_seconds; });
    return plans;
}

std::optional<preemption::plan> preemption::plan_for(const live_step& step, const worker_state& worker,
                                                     core::steady_time now) {
    if (this->pending.contains(worker.entry.worker) || !this->selector.permitted(step, worker, now)) {
        return std::nullopt;
    }
    plan found{.worker = worker.entry.worker};
    core::resources freed;
    for (const auto& one : this->find_victims(step, worker, now)) {
        found.victims.push_back(one);
        found.lost_core_seconds += one.lost_core_seconds;
        freed += reserved_resources(*one.step->request);
        if (found.lost_core_seconds >= core_seconds(step, step.remaining_work)) {
            return std::nullopt;
        }
        if (task_placer::would_suit(step, worker, freed, now)) {
            return found;
        }
    }
    return std::nullopt;
}

std::vector<preemption::victim> preemption::find_victims(const live_step& step, const worker_state& worker,
                                                         core::steady_time now) {
    std::vector<victim> found;
    for (const auto& name : worker.runs) {
        auto* other = this->state.find_step(name.task.step);
        if (other == nullptr || other->request->gang || other->request->long_running ||
            other->request->uses_leftover || other->job->policy().priority <= step.job->policy().priority) {
            continue;
        }
        auto* run = run_manager::find_run_on(other->tasks[name.task.index], name.run, worker.entry.worker);
        if (run != nullptr && run->phase == run_phase::running) {
            found.push_back({.step = other,
                             .index = name.task.index,
                             .run = run,
                             .lost_core_seconds = loss_of_stop(*other, *run, now)});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const victim& a, const victim& b) { return a.lost_core_seconds < b.lost_core_seconds; });
    return found;
}

void preemption::carry_out(const live_step& step, const plan& chosen, core::steady_time now) {
    pending_stop stopped{.beneficiary = step.name, .stopped_at = now};
    for (const auto& one : chosen.victims) {
        stopped.runs.push_back({.task = {.step = one.step->name, .index = one.index}, .run = one.run->run});
        this->runs.stop(*one.step, one.index, *one.run, now);
    }
    telemetry::log_state("stopping runs of a lower priority",
                         {{"for", step.name.text()},
                          {"worker", chosen.worker.value()},
                          {"runs", std::to_string(chosen.victims.size())},
                          {"lost_core_seconds", std::to_string(chosen.lost_core_seconds)}});
    this->pending.emplace(chosen.worker, std::move(stopped));
}

} // namespace rattanmount::dispatch
