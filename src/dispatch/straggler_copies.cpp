#include "dispatch/straggler_copies.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace rattanmount::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

/// Shortest time between two searches.
constexpr core::milliseconds search_interval{100};
/// A run that takes so many times as long as the other tasks of its step would there gets a copy.
constexpr double straggler_factor = 2;
/// Share of a service's processors that has to be free.
constexpr double least_free_share = 0.25;
/// The most work that may be lost by copies, as a share of all work.
constexpr double most_lost_share = 0.03;
/// Time in which the weight of past work halves in the budget.
constexpr seconds budget_half_life{60};
constexpr double millicores_per_core = 1000;

double cores_of(const live_step& step) {
    return static_cast<double>(reserved_resources(*step.request).millicores) / millicores_per_core;
}

bool may_have_copies(const live_step& step) {
    const auto& request = *step.request;
    return request.allows_copies && !request.gang && !request.long_running && step.ready &&
           !step.complete() && step.waiting.empty() && step.run_times.usual_time().count() > 0;
}

} // namespace

straggler_copies::straggler_copies(dispatch_state& state, run_manager& runs, const task_placer& selector,
                                   advice_manager& advice, start_check may_start)
    : state(state), runs(runs), selector(selector), advice(advice), may_start(std::move(may_start)) {}

void straggler_copies::reset() {
    this->all_work = 0;
    this->copy_work = 0;
    this->searched_at = {};
}

void straggler_copies::tick(core::steady_time now) {
    if (now < this->searched_at + search_interval) {
        return;
    }
    this->update_budget(now);
    this->searched_at = now;
    if (!this->state.can_send_orders(now) || !this->state.worker_list_read) {
        return;
    }
    for (const auto& [key, job] : this->state.jobs) {
        if (job->cancelled || workflow::is_over(job->phase)) {
            continue;
        }
        for (auto& [number, occurrence] : job->occurrences) {
            for (auto& step : occurrence.steps) {
                if (may_have_copies(step)) {
                    this->search(step, now);
                }
            }
        }
    }
}

void straggler_copies::update_budget(core::steady_time now) {
    if (this->searched_at == core::steady_time{}) {
        return;
    }
    const seconds passed = now - this->searched_at;
    const auto decay = std::exp2(-passed / budget_half_life);
    double cores = 0;
    for (const auto& [id, worker] : this->state.workers) {
        cores += static_cast<double>(worker.reserved.millicores) / millicores_per_core;
    }
    this->all_work = this->all_work * decay + cores * passed.count();
    this->copy_work *= decay;
}

void straggler_copies::search(live_step& step, core::steady_time now) {
    for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
        const auto& task = step.tasks[i];
        if (!this->is_straggler(step, task, now) || !this->may_start(step, task, now)) {
            continue;
        }
        if (!this->state.orders.has_room() || !this->has_spare_capacity(step.job->policy().service, now)) {
            return;
        }
        if (const auto worker = this->choose_other_worker(step, i, now)) {
            this->start_copy(step, i, this->state.workers.at(*worker), now);
        } else {
            constexpr std::size_t places = 2; // The present worker may count as one.
            this->advice.ask(step, places, now);
        }
    }
}

bool straggler_copies::is_straggler(const live_step& step, const live_task& task,
                                    core::steady_time now) const {
    // A copy that fails counts as an attempt, so a task that has failed before gets none.
    if (task.done || task.runs.size() != 1 || !task.failed_runs.empty() ||
        step.job->policy().max_attempts < max_runs_per_task) {
        return false;
    }
    const auto& run = task.runs.front();
    const auto worker = this->state.workers.find(run.worker);
    if (run.phase != run_phase::running || !run.answered_at || worker == this->state.workers.end()) {
        return false;
    }
    const auto factor = this->state.speeds.factor_of(worker->second.entry);
    return now - *run.answered_at > step.run_times.usual_time() * factor * straggler_factor;
}

bool straggler_copies::has_spare_capacity(const core::service_id& service, core::steady_time now) const {
    std::int64_t free = 0;
    std::int64_t all = 0;
    for (const auto& [id, worker] : this->state.workers) {
        if (worker.entry.service == service && worker.accepts_starts(now)) {
            free += std::max<std::int64_t>(worker.free_capacity().millicores, 0);
            all += worker.entry.capacity.millicores;
        }
    }
    return static_cast<double>(free) > least_free_share * static_cast<double>(all);
}

std::optional<core::worker_id> straggler_copies::choose_other_worker(const live_step& step,
                                                                     std::uint32_t index,
                                                                     core::steady_time now) const {
    std::set<core::worker_id> others;
    this->selector.for_each_allowed(step, [&](const worker_state& worker) {
        if (worker.entry.worker != step.tasks[index].runs.front().worker) {
            others.insert(worker.entry.worker);
        }
    });
    return this->selector.choose_among(step, index, others, now);
}

void straggler_copies::start_copy(live_step& step, std::uint32_t index, worker_state& worker,
                                  core::steady_time now) {
    auto& task = step.tasks[index];
    const auto& first = task.runs.front();
    const seconds elapsed = now - *first.answered_at;
    const seconds expected = step.run_times.usual_time() * this->state.speeds.factor_of(worker.entry);
    // If the copy succeeds first, the work of the first run is lost.
    const auto lost = (elapsed + expected).count() * cores_of(step);
    if (this->copy_work + lost > most_lost_share * this->all_work) {
        return;
    }
    this->copy_work += lost;
    const workflow::task_name name{.step = step.name, .index = index};
    telemetry::log_state(
        "second run of straggler",
        {{"task", name.text()},
         {"worker", first.worker.value()},
         {"other", worker.entry.worker.value()},
         {"elapsed_ms", std::to_string(std::chrono::duration_cast<core::milliseconds>(elapsed).count())},
         {"usual_ms", std::to_string(step.run_times.usual_time().count())}});
    this->runs.start(step, index, worker, task.last_run + 1, now);
}

} // namespace rattanmount::dispatch
