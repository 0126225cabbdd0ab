#include "scheduling/preemption_planner.h"

#include "scheduling/dimension.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanmount::scheduling {

namespace {

/// Urgent tasks that are looked at in one call.
constexpr std::size_t most_needs = 1024;
/// Urgent tasks for which room is made in one call.
constexpr std::size_t plans_at_once = 16;

/// Whether a throttle would help: the task uses more than it is counted with.
bool overuses(const holding& what) {
    return what.occupied != what.size && !what.asked.has_value();
}

/// What will be free by what was asked for already.
core::resources pending_gain(const holding& what) {
    return *what.asked == preemption_kind::throttle ? what.occupied - what.size : what.occupied;
}

} // namespace

preemption_planner::preemption_planner(shard_state& state, core::steady_time now)
    : state(state), now(now), rules(state, now), rooms(state.workers.rooms(true)) {}

std::vector<preemption> preemption_planner::run() {
    std::vector<preemption> decided;
    this->escalate(decided);
    std::size_t plans = 0;
    std::optional<core::resources> hopeless;
    for (const auto& wanted : this->needs()) {
        if (plans == plans_at_once) {
            break;
        }
        if (this->covered(wanted) || wanted.size == hopeless) {
            continue;
        }
        const auto chosen = this->cheapest(wanted);
        if (!chosen.has_value()) {
            hopeless = wanted.size;
            continue;
        }
        this->carry_out(wanted, *chosen, decided);
        ++plans;
    }
    return decided;
}

bool preemption_planner::still_needed(const holding& what) const {
    const auto* job = this->state.queue.find(what.asked_for);
    return job != nullptr && !job->waiting.empty();
}

/// Stops what was asked for a checkpoint and has not ended in time; counts what is on its way.
void preemption_planner::escalate(std::vector<preemption>& decided) {
    for (auto& [attempt, what] : this->state.holdings.all()) {
        if (!what.asked.has_value() || what.row == no_row) {
            continue;
        }
        if (!this->still_needed(what) && *what.asked == preemption_kind::throttle) {
            what.asked.reset();
            continue;
        }
        if (this->state.workers.rows()[what.row].open()) {
            this->rooms[what.row] += pending_gain(what);
        }
        const bool patience_over = this->now - what.asked_at >= this->state.options.checkpoint_patience;
        if (*what.asked == preemption_kind::checkpoint_and_stop && patience_over &&
            this->still_needed(what)) {
            what.asked = preemption_kind::stop;
            what.asked_at = this->now;
            decided.push_back({.attempt = attempt,
                               .worker = what.worker,
                               .kind = preemption_kind::stop,
                               .for_job = what.asked_for});
        }
    }
}

std::vector<preemption_planner::need> preemption_planner::needs() {
    std::vector<need> found;
    for (const auto& [key, lane] : this->state.queue.lanes()) {
        this->state.accounts.refresh(lane->pool);
        if (!lane->pool.urgent()) {
            continue;
        }
        this->state.accounts.refresh(lane->team);
        for (const auto* group : lane->groups) {
            this->add_needs(*group, found);
        }
    }
    return found;
}

void preemption_planner::add_needs(const job_group& group, std::vector<need>& found) const {
    const auto waits = [this](const waiting_job& job) {
        return this->now - job.since >= this->state.options.preempt_after;
    };
    if (!waits(group.head())) {
        return;
    }
    const auto verdict = this->rules.check(group, group.head(), false);
    if (verdict.stopped_by != gate::room && verdict.stopped_by != gate::failed_there) {
        return;
    }
    for (const auto* job : group.jobs) {
        if (!waits(*job) || found.size() >= most_needs) {
            return;
        }
        const auto tasks = std::min(job->waiting.size(), most_needs - found.size());
        found.insert(found.end(), tasks, {.job = job->spec.id, .size = verdict.size});
    }
}

/// Takes the room for a task from what is free or on its way. Tasks of one size are asked for in a row, so
/// the search goes on where the last one ended.
bool preemption_planner::covered(const need& wanted) {
    if (wanted.size != this->searched_size) {
        this->searched_size = wanted.size;
        this->searched_rows = 0;
    }
    for (; this->searched_rows < this->rooms.size(); ++this->searched_rows) {
        auto& room = this->rooms[this->searched_rows];
        if (wanted.size.fits_in(room)) {
            room -= wanted.size;
            return true;
        }
    }
    return false;
}

bool preemption_planner::preemptible(const holding& what) const {
    this->state.accounts.refresh(*what.pool);
    const auto* policy = what.pool->policy;
    const bool allowed = policy != nullptr && policy->preemptible && !policy->urgent;
    const bool bound = what.attempt.attempt > 0;
    const bool stopping = what.asked.has_value() && *what.asked != preemption_kind::throttle;
    return allowed && bound && !stopping;
}

double preemption_planner::lost_work(const holding& what) const {
    const std::chrono::duration<double> ran = this->now - what.since;
    const double share = what.size.dominant_share(this->state.workers.largest_capacity());
    const bool straggles = what.straggler(this->now, this->state.options.straggler_factor);
    constexpr double smallest = 1e-6;
    return smallest + (straggles ? 0.0 : std::max(0.0, ran.count())) * share;
}

std::optional<preemption_planner::plan> preemption_planner::plan_for(row_index row,
                                                                     const need& wanted) const {
    const auto& worker = this->state.workers.rows()[row];
    if (!worker.open() || !wanted.size.fits_in(worker.info.capacity)) {
        return std::nullopt;
    }
    plan made{.row = row};
    auto room = this->rooms[row];
    for (const auto& possible : this->possible_steps(worker)) {
        if (wanted.size.fits_in(room)) {
            break;
        }
        room += possible.gain;
        made.steps.push_back(possible);
    }
    if (!wanted.size.fits_in(room)) {
        return std::nullopt;
    }
    preemption_planner::drop_needless(made, room, wanted.size);
    for (const auto& chosen : made.steps) {
        made.lost += chosen.lost;
    }
    return made;
}

/// The steps on one worker, those that lose least first: throttles, then checkpoints.
std::vector<preemption_planner::step> preemption_planner::possible_steps(const worker_row& worker) const {
    std::vector<step> steps;
    for (auto* what : worker.holdings) {
        if (!this->preemptible(*what)) {
            continue;
        }
        const bool throttled = what->asked.has_value();
        if (overuses(*what)) {
            steps.push_back({.what = what,
                             .kind = preemption_kind::throttle,
                             .gain = what->occupied - what->size,
                             .lost = 0.0});
        }
        if (what->idempotent) {
            const bool whole = !throttled && !overuses(*what);
            steps.push_back({.what = what,
                             .kind = preemption_kind::checkpoint_and_stop,
                             .gain = whole ? what->occupied : what->size,
                             .lost = this->lost_work(*what)});
        }
    }
    std::sort(steps.begin(), steps.end(), [](const step& left, const step& right) {
        return std::tie(left.lost, left.what->attempt) < std::tie(right.lost, right.what->attempt);
    });
    return steps;
}

/// Leaves out steps without which the room is enough, the dearest first.
void preemption_planner::drop_needless(plan& made, core::resources room, const core::resources& size) {
    for (auto place = made.steps.size(); place-- > 0;) {
        const auto without = room - made.steps[place].gain;
        if (size.fits_in(without)) {
            room = without;
            made.steps.erase(made.steps.begin() + static_cast<std::ptrdiff_t>(place));
        }
    }
}

std::optional<preemption_planner::plan> preemption_planner::cheapest(const need& wanted) const {
    std::optional<plan> best;
    for (row_index row = 0; row < this->rooms.size(); ++row) {
        auto made = this->plan_for(row, wanted);
        if (made.has_value() && (!best.has_value() || made->lost < best->lost)) {
            best = std::move(made);
        }
    }
    return best;
}

void preemption_planner::carry_out(const need& wanted, const plan& chosen, std::vector<preemption>& decided) {
    for (const auto& [what, kind, gain, lost] : chosen.steps) {
        this->rooms[chosen.row] += gain;
        what->asked = kind;
        what->asked_at = this->now;
        what->asked_for = wanted.job;
        decided.push_back(
            {.attempt = what->attempt, .worker = what->worker, .kind = kind, .for_job = wanted.job});
    }
    this->rooms[chosen.row] -= wanted.size;
    this->searched_rows = std::min<std::size_t>(this->searched_rows, chosen.row);
}

} // namespace rattanmount::scheduling
