#include "dispatch/inherited_runs.h"

#include "dispatch/run_manager.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two updates. An earlier result is never too low, because what it counts only falls.
constexpr core::milliseconds update_interval{20};

/// Returns the amount that one of several steps uses while it runs, by its index.
using step_amount = std::function<core::resources(std::uint32_t)>;

core::resources larger_of(const core::resources& a, const core::resources& b) {
    return {.millicores = std::max(a.millicores, b.millicores),
            .memory_mb = std::max(a.memory_mb, b.memory_mb),
            .accelerators = std::max(a.accelerators, b.accelerators)};
}

/// @return whether runs of the step may be left once it is done: other members of a gang, and copies, are
/// stopped when the first of them succeeds.
bool may_outlast(const workflow::step_request& step) {
    return step.gang || step.allows_copies;
}

/// @return the most that the steps use together: each is put in a chain of steps that run one after another,
/// and the largest of each chain counts.
core::resources most_at_once(const std::vector<workflow::step_request>& steps, const step_amount& amount_of) {
    std::map<std::uint32_t, core::resources> chains; // By the last step of the chain.
    for (std::uint32_t i = 0; i < steps.size(); i++) {
        auto amount = amount_of(i);
        for (const auto earlier : steps[i].after) {
            if (!may_outlast(steps[earlier]) && chains.contains(earlier)) {
                amount = larger_of(amount, chains.extract(earlier).mapped());
                break;
            }
        }
        chains.emplace(i, amount);
    }
    core::resources sum;
    for (const auto& [last, amount] : chains) {
        sum += amount;
    }
    return sum;
}

core::resources most_at_once(const workflow::job_request& request) {
    const auto once = most_at_once(request.steps, [&](std::uint32_t i) {
        return reserved_resources(request.steps[i]) * request.steps[i].tasks;
    });
    return once * request.occurrences();
}

/// @return the most that the tasks without a tracked run use together, but those that are certainly over.
core::resources untracked(const live_job& job) {
    const auto& steps = job.entry->accepted.request.steps;
    core::resources sum;
    for (const auto& [number, occurrence] : job.occurrences) {
        sum += most_at_once(steps, [&occurrence = occurrence](std::uint32_t i) {
            const auto& step = occurrence.steps[i];
            const bool outlasts = may_outlast(*step.request);
            const auto count =
                std::count_if(step.tasks.begin(), step.tasks.end(), [&](const live_task& task) {
                    return (outlasts || !task.done) && task.runs.empty();
                });
            return reserved_resources(*step.request) * count;
        });
    }
    return sum;
}

} // namespace

void inherited_runs::begin(const workflow::cell_state& cell) {
    this->reset();
    this->updated_at = {};
    for (const auto& [key, entry] : cell.jobs()) {
        const auto& job = entry->accepted;
        if (!job.team.empty() && !job.request.steps.empty()) {
            this->jobs.emplace(key, inherited_job{.team = job.team, .amount = most_at_once(job.request)});
        }
    }
}

void inherited_runs::update(bool settled, core::steady_time now) {
    const bool too_early = !settled && now < this->updated_at + update_interval;
    if (too_early || !this->state.teams.has_policies()) {
        return;
    }
    this->updated_at = now;
    if (settled && !this->jobs.empty() && !this->any_unknown_runs()) {
        this->jobs.clear();
    }
    this->update_jobs();
    team_accounts::amounts unknown;
    for (const auto& [key, job] : this->jobs) {
        unknown[job.team] += job.amount;
    }
    if (this->jobs.empty()) {
        this->add_recorded_tasks(unknown, now);
    }
    this->state.placement_needed =
        this->state.teams.set_unknown(std::move(unknown)) || this->state.placement_needed;
}

bool inherited_runs::any_unknown_runs() const {
    return std::any_of(this->state.workers.begin(), this->state.workers.end(),
                       [](const auto& place) { return place.second.has_unknown_runs; });
}

void inherited_runs::update_jobs() {
    for (auto& [key, job] : this->jobs) {
        const auto live = this->state.jobs.find(key);
        // The runs of a job that has ended are stopped as workers list them, without being tracked.
        if (live != this->state.jobs.end() && !live->second->cancelled) {
            job.amount = untracked(*live->second);
        }
    }
}

void inherited_runs::add_recorded_tasks(team_accounts::amounts& unknown, core::steady_time now) const {
    for (const auto& [worker, tasks] : this->state.recorded_tasks) {
        if (this->state.inherited_runs_ended(worker, now)) {
            continue;
        }
        for (const auto& name : tasks) {
            const auto* step = this->state.find_step(name.step);
            if (step != nullptr && step->tasks[name.index].recorded_worker == worker &&
                step->tasks[name.index].runs.empty()) {
                unknown[step->job->team()] += reserved_resources(*step->request);
            }
        }
    }
}

} // namespace rattanmount::dispatch
