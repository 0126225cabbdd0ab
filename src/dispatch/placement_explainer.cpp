#include "dispatch/placement_explainer.h"

#include "dispatch/run_manager.h"

#include <algorithm>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Workers that an explanation names.
constexpr std::size_t most_candidates = 5;

/// @return the first step that may start at once.
live_step& first_step(live_job& job) {
    return job.occurrences.at(0).steps.front();
}

} // namespace

placement_explanation placement_explainer::explain(const workflow::job_accepted& job,
                                                   core::steady_time now) const {
    workflow::job_entry entry{.accepted = job, .learned_at = now};
    live_job live;
    live.entry = &entry;
    add_occurrence(live, 0, this->state.epoch, now);
    const auto& step = first_step(live);
    placement_explanation result{.team = job.team,
                                 .queue = job.policy.queue,
                                 .priority = job.policy.priority,
                                 .needs_advice = job.policy.advice.has_value()};
    this->add_workers(step, now, result);
    this->add_reasons(step, now, result);
    return result;
}

void placement_explainer::add_workers(const live_step& step, core::steady_time now,
                                      placement_explanation& result) const {
    for (const auto& [id, worker] : this->state.workers) {
        if (!worker.listed || worker.entry.service != step.job->policy().service) {
            continue;
        }
        result.known_workers++;
        if (!this->placer.suits(step, worker, now)) {
            continue;
        }
        result.fitting_workers++;
        const auto cost = this->placer.cost_terms(step, worker, now);
        result.candidates.push_back({.worker = id, .cost = cost.total(), .terms = cost.named()});
    }
    // Stable, because the placer takes the first of several workers with the same cost.
    std::stable_sort(result.candidates.begin(), result.candidates.end(),
                     [](const auto& a, const auto& b) { return a.cost < b.cost; });
    if (result.candidates.size() > most_candidates) {
        result.candidates.resize(most_candidates);
    }
}

void placement_explainer::add_reasons(const live_step& step, core::steady_time now,
                                      placement_explanation& result) const {
    const auto each = reserved_resources(*step.request);
    if (result.known_workers == 0) {
        result.waits_for.emplace_back("a worker of the service " + step.job->policy().service.value());
    } else if (result.fitting_workers == 0) {
        const bool fits_when_idle =
            std::any_of(this->state.workers.begin(), this->state.workers.end(), [&](const auto& one) {
                return this->placer.tasks_that_fit_when_idle(step, one.second, now) > 0;
            });
        result.waits_for.emplace_back(fits_when_idle ? "runs to end: no worker has " + each.text() + " free"
                                                     : "a worker that has " + each.text() +
                                                           " and the required label and accepts starts");
    }
    if (!this->state.teams.has_room(step.job->team(), each)) {
        result.waits_for.emplace_back("runs of its team to end: the team has " +
                                      this->state.teams.reserved(step.job->team()).text() +
                                      " reserved and reaches its cap");
    }
    if (!this->state.orders.has_room()) {
        result.waits_for.emplace_back("answers of workers: " + std::to_string(this->state.orders.count()) +
                                      " orders are in flight");
    }
    if (const auto ahead = this->steps_ahead(step); ahead > 0 && result.fitting_workers == 0) {
        result.waits_for.emplace_back(std::to_string(ahead) +
                                      " steps of its priority or a higher one that wait for the service");
    }
}

std::size_t placement_explainer::steps_ahead(const live_step& step) const {
    const auto& policy = step.job->policy();
    return static_cast<std::size_t>(
        std::count_if(this->state.ready_steps.begin(), this->state.ready_steps.end(), [&](const auto& one) {
            const auto& other = one.second->job->policy();
            return other.service == policy.service && other.priority <= policy.priority;
        }));
}

} // namespace rattanmount::dispatch
