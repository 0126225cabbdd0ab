#include "dispatch/run_mover.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two searches for runs to move.
constexpr core::milliseconds search_interval{20};
/// Delay before the next search for a step for which there was no place.
constexpr core::milliseconds no_place_pause{50};
/// Most searches for a place at a time.
constexpr std::size_t max_searches = 32;
/// Moves at a time: one per this many workers, and at least `least_moves`.
constexpr std::size_t workers_per_move = 8;
constexpr std::size_t least_moves = 8;
/// A place is not kept for longer: the stop of the run has probably been lost.
constexpr core::milliseconds longest_move{1000};
/// If a worker may leave sooner than this, its runs do not wait for other tasks of their steps.
constexpr core::milliseconds urgent_notice{1000};

bool is_over(const live_step& step) {
    return step.job->cancelled || workflow::is_over(step.job->phase);
}

bool at_work(const live_task& task) {
    return std::any_of(task.runs.begin(), task.runs.end(),
                       [](const live_run& run) { return run.phase == run_phase::running; });
}

} // namespace

run_mover::run_mover(dispatch_state& state, run_manager& runs, const task_placer& selector,
                     advice_manager& advice, start_check may_start)
    : state(state), runs(runs), selector(selector), advice(advice), may_start(std::move(may_start)) {}

void run_mover::reset() {
    this->moves.clear();
    this->departures.clear();
    this->search_again_at.clear();
    this->runs_left = false;
}

void run_mover::tick(core::steady_time now) {
    std::erase_if(this->moves,
                  [&](const auto& entry) { return this->advance(entry.first, entry.second, now); });
    const bool may_begin = this->state.can_send_orders(now) && this->state.worker_list_read;
    if (!may_begin) {
        this->runs_left = false;
        return;
    }
    if (now >= this->searched_at + search_interval) {
        this->searched_at = now;
        this->update_departures(now);
        this->begin_moves(now);
    }
}

core::steady_time run_mover::next_due(core::steady_time now) const {
    constexpr core::milliseconds idle_interval{1000};
    return this->runs_left ? this->searched_at + no_place_pause : now + idle_interval;
}

bool run_mover::advance(const workflow::task_name& task, const move& one, core::steady_time now) {
    auto* step = this->state.find_step(task.step);
    if (step == nullptr) {
        return true;
    }
    auto& moved = step->tasks[task.index];
    const bool ended = moved.runs.empty();
    const bool replaced = !ended && run_manager::find_run(moved, one.run) == nullptr;
    if (is_over(*step) || replaced || now >= one.begun_at + longest_move) {
        this->runs.release_place(*step, task.index, one.place);
        return true;
    }
    if (!ended || !moved.queued || !this->state.can_send_orders(now) || !this->may_start(*step, moved, now)) {
        return false;
    }
    this->restart(*step, task.index, one, now);
    return true;
}

void run_mover::restart(live_step& step, std::uint32_t index, const move& one, core::steady_time now) {
    this->runs.release_place(step, index, one.place);
    const auto place = this->state.workers.find(one.place);
    const bool suitable =
        place != this->state.workers.end() && this->selector.can_take(step, place->second, now);
    if (!suitable) {
        step.needs_placement = true;
        return;
    }
    auto& task = step.tasks[index];
    std::erase(step.waiting, index);
    task.queued = false;
    this->runs.start(step, index, place->second, task.last_run + 1, now);
}

void run_mover::update_departures(core::steady_time now) {
    std::erase_if(this->departures, [this](const auto& known) {
        const auto worker = this->state.workers.find(known.first);
        return worker == this->state.workers.end() || !worker->second.entry.draining;
    });
    for (const auto& [id, worker] : this->state.workers) {
        if (!worker.entry.draining) {
            continue;
        }
        const auto remaining = worker.entry.drain_remaining;
        const auto [known, added] = this->departures.try_emplace(id);
        if (added || known->second.remaining != remaining) {
            known->second = {.remaining = remaining, .at = now + remaining};
        }
    }
}

std::vector<run_mover::candidate> run_mover::find_candidates() {
    std::vector<candidate> found;
    for (const auto& [id, departure] : this->departures) {
        const auto& worker = this->state.workers.at(id);
        if (worker.long_running_runs == 0 || worker.unanswered_holds > 0) {
            continue;
        }
        for (const auto& name : worker.runs) {
            auto* step = this->state.find_step(name.task.step);
            if (step == nullptr || !step->request->long_running || step->request->gang || is_over(*step)) {
                continue;
            }
            const auto* run = run_manager::find_run_on(step->tasks[name.task.index], name.run, id);
            if (run != nullptr && run->phase == run_phase::running) {
                found.push_back({departure.at, step, name.task.index, name.run});
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const candidate& a, const candidate& b) { return a.leaves_at < b.leaves_at; });
    return found;
}

void run_mover::begin_moves(core::steady_time now) {
    std::erase_if(this->search_again_at, [now](const auto& one) { return one.second <= now; });
    const auto candidates = this->find_candidates();
    this->runs_left = !candidates.empty();
    std::map<const live_step*, std::size_t> wanted;
    for (const auto& one : candidates) {
        wanted[one.step]++;
    }
    std::size_t searches = 0;
    for (const auto& one : candidates) {
        if (this->moves.size() >= this->max_moves() || searches >= max_searches) {
            return;
        }
        if (this->search_again_at.contains(one.step->name) || must_wait(one, now) ||
            !this->may_start(*one.step, one.step->tasks[one.index], now)) {
            continue;
        }
        searches++;
        if (const auto place = this->selector.choose(*one.step, one.index, now)) {
            this->begin_move(one, *place, now);
            continue;
        }
        this->search_again_at.emplace(one.step->name, now + no_place_pause);
        this->advice.ask(*one.step, one.step->waiting.size() + wanted[one.step], now);
    }
}

void run_mover::begin_move(const candidate& one, const core::worker_id& place, core::steady_time now) {
    auto& step = *one.step;
    auto& run = *run_manager::find_run(step.tasks[one.index], one.run);
    const workflow::task_name task{.step = step.name, .index = one.index};
    telemetry::log_state(
        "moving run off draining worker",
        {{"task", task.text()},
         {"run", std::to_string(one.run)},
         {"worker", run.worker.value()},
         {"to", place.value()},
         {"remaining_ms",
          std::to_string(std::chrono::duration_cast<core::milliseconds>(one.leaves_at - now).count())}});
    this->runs.reserve_place(step, one.index, this->state.workers.at(place));
    this->moves.emplace(task, move{.run = one.run, .place = place, .begun_at = now});
    this->runs.stop(step, one.index, run, now);
}

std::size_t run_mover::max_moves() const {
    return std::max(this->state.workers.size() / workers_per_move, least_moves);
}

bool run_mover::must_wait(const candidate& one, core::steady_time now) {
    const auto limit = one.step->request->may_be_away;
    if (limit == 0 || one.leaves_at <= now + urgent_notice) {
        return false;
    }
    const auto& tasks = one.step->tasks;
    const auto away =
        std::count_if(tasks.begin(), tasks.end(), [](const live_task& task) { return !at_work(task); });
    return static_cast<std::uint32_t>(away) >= limit;
}

} // namespace rattanmount::dispatch
