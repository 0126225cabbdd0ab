#include "dispatch/gang_placer.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Places are kept on at most one in so many workers of a service, unless only one gang has places there.
constexpr std::size_t workers_per_kept_one = 2;
/// Places are chosen anew after this time: the runs there take longer than other workers' runs.
constexpr core::milliseconds longest_keep{10000};
/// A waiting gang is placed again after this time, as tickets, pauses and limits change with time alone.
constexpr core::milliseconds place_interval{100};
/// Time without kept places after a more urgent step has waited.
constexpr core::milliseconds yield_pause{1000};
/// The longest time for which a gang waits for room in one rack while it could run on several.
constexpr core::milliseconds longest_rack_wait{2000};

/// @return for how long a gang waits for room in one rack: about as long as its tasks take, because they
/// would take some times as long on several racks.
core::milliseconds rack_wait(const workflow::step_request& step) {
    return step.estimate.count() > 0 ? std::min(step.estimate, longest_rack_wait) : longest_rack_wait;
}

} // namespace

gang_placer::gang_placer(dispatch_state& state, run_manager& runs, task_lifecycle& flow,
                         const task_placer& choice, start_check may_start)
    : state(state), runs(runs), lifecycle(flow), selector(choice), may_start(std::move(may_start)) {}

void gang_placer::place(live_step& step, core::steady_time now) {
    step.needs_placement = false;
    step.place_again_at = now + place_interval;
    for (const auto& task : step.tasks) {
        if (!this->may_start(step, task, now)) {
            return;
        }
    }
    if (!has_no_runs(step)) {
        this->release(step);
        this->lifecycle.keep_or_stop_gang(step, now);
        return;
    }
    auto workers =
        this->can_start_on_kept_places(step, now) ? step.kept_workers : this->selector.choose_gang(step, now);
    if (workers.empty() && this->permit_several_racks(step, now)) {
        workers = this->selector.choose_gang(step, now);
    }
    if (!workers.empty()) {
        this->release(step);
        this->start(step, workers, now);
    } else if (step.kept_workers.empty()) {
        this->keep_places(step, this->selector.choose_places_to_keep(step, now), now);
    } else if (const auto free = this->selector.choose_free_places(step, now); !free.empty()) {
        this->release(step);
        this->keep_places(step, free, now);
    }
}

bool gang_placer::permit_several_racks(live_step& step, core::steady_time now) const {
    const bool asks_first = step.job->policy().advice && step.advice.allowed.empty();
    if (!step.request->one_rack || step.may_span_racks || asks_first) {
        return false;
    }
    if (!step.waits_for_rack_since) {
        step.waits_for_rack_since = now;
    }
    const bool can_be_held = !step.kept_workers.empty() || this->selector.some_rack_can_hold(step);
    if (can_be_held && now < *step.waits_for_rack_since + rack_wait(*step.request)) {
        return false;
    }
    step.may_span_racks = true;
    const auto waited = std::chrono::duration_cast<core::milliseconds>(now - *step.waits_for_rack_since);
    telemetry::log_state("gang may run on several racks",
                         {{"step", step.name.text()},
                          {"tasks", std::to_string(step.tasks.size())},
                          {"why", can_be_held ? "no rack has had room" : "no rack can hold it"},
                          {"waited_ms", std::to_string(waited.count())}});
    return true;
}

void gang_placer::yield_to(const live_step& step, core::steady_time now) {
    const auto& policy = step.job->policy();
    const auto released = this->release_if([&policy](const live_step& gang, core::steady_time) {
        return gang.job->policy().service == policy.service && gang.job->policy().priority > policy.priority;
    });
    if (!released.empty()) {
        this->paused_until[policy.service] = now + yield_pause;
    }
}

void gang_placer::tick(core::steady_time now) {
    this->blocked.clear();
    const auto released = this->release_if([this, now](const live_step& gang, core::steady_time kept_at) {
        return !this->are_useful(gang, kept_at, now);
    });
    for (auto* const gang : released) {
        gang->needs_placement = true;
    }
}

std::vector<live_step*>
gang_placer::release_if(const std::function<bool(const live_step&, core::steady_time)>& condition) {
    std::vector<live_step*> released;
    for (const auto& [gang, kept_at] : this->kept) {
        if (condition(*gang, kept_at)) {
            released.push_back(gang);
        }
    }
    for (auto* const gang : released) {
        this->release(*gang);
    }
    return released;
}

void gang_placer::reset() {
    this->kept.clear();
    this->blocked.clear();
    this->paused_until.clear();
}

bool gang_placer::may_keep_places(const live_step& step, core::steady_time now) const {
    const auto& service = step.job->policy().service;
    const auto pause = this->paused_until.find(service);
    if (pause != this->paused_until.end() && now < pause->second) {
        return false;
    }
    std::size_t places = 0;
    for (const auto& [gang, kept_at] : this->kept) {
        places += gang->job->policy().service == service ? gang->kept_workers.size() : 0;
    }
    return places == 0 || (places + step.tasks.size()) * workers_per_kept_one <= this->workers_of(service);
}

std::size_t gang_placer::workers_of(const core::service_id& service) const {
    return static_cast<std::size_t>(
        std::count_if(this->state.workers.begin(), this->state.workers.end(),
                      [&service](const auto& place) { return place.second.entry.service == service; }));
}

void gang_placer::keep_places(live_step& step, const std::vector<core::worker_id>& workers,
                              core::steady_time now) {
    if (workers.empty()) {
        return;
    }
    const auto& service = step.job->policy().service;
    // Places with room only wait for tickets, so they hold nothing back for long.
    const bool has_room = std::all_of(workers.begin(), workers.end(), [&](const core::worker_id& id) {
        return task_placer::missing_share(step, this->state.workers.at(id)) <= 0;
    });
    if (!has_room && (this->blocked.contains(service) || !this->may_keep_places(step, now))) {
        this->blocked.insert(service);
        return;
    }
    for (std::uint32_t i = 0; i < workers.size(); i++) {
        this->runs.reserve_place(step, i, this->state.workers.at(workers[i]));
    }
    step.kept_workers = workers;
    this->kept.emplace(&step, now);
    telemetry::log_state("keeping places for gang", {{"step", step.name.text()},
                                                     {"tasks", std::to_string(workers.size())},
                                                     {"gangs", std::to_string(this->kept.size())}});
}

bool gang_placer::can_start_on_kept_places(const live_step& step, core::steady_time now) const {
    return !step.kept_workers.empty() &&
           std::all_of(step.kept_workers.begin(), step.kept_workers.end(), [&](const core::worker_id& id) {
               const auto worker = this->state.workers.find(id);
               return worker != this->state.workers.end() &&
                      task_placer::is_eligible(step, worker->second, now) &&
                      worker->second.has_room_for_kept_places() &&
                      this->selector.permitted(step, worker->second, now);
           });
}

bool gang_placer::are_useful(const live_step& step, core::steady_time kept_at, core::steady_time now) const {
    if (step.job->cancelled || workflow::is_over(step.job->phase) || step.waiting.empty() ||
        now >= kept_at + longest_keep || !this->may_start(step, step.tasks.front(), now)) {
        return false;
    }
    return std::all_of(step.kept_workers.begin(), step.kept_workers.end(), [&](const core::worker_id& id) {
        const auto worker = this->state.workers.find(id);
        return worker != this->state.workers.end() && task_placer::is_eligible(step, worker->second, now);
    });
}

void gang_placer::release(live_step& step) {
    const auto workers = std::exchange(step.kept_workers, {});
    for (std::uint32_t i = 0; i < workers.size(); i++) {
        this->runs.release_place(step, i, workers[i]);
    }
    this->kept.erase(&step);
}

void gang_placer::start(live_step& step, const std::vector<core::worker_id>& workers, core::steady_time now) {
    step.waiting.clear();
    step.waits_for_rack_since.reset();
    step.may_span_racks = false;
    workflow::checkpoint_id checkpoint;
    std::uint32_t run = 0;
    for (const auto& task : step.tasks) {
        checkpoint = std::max(checkpoint, task.checkpoint);
        run = std::max(run, task.last_run);
    }
    for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
        step.tasks[i].queued = false;
        step.tasks[i].checkpoint = checkpoint;
        this->runs.start(step, i, this->state.workers.at(workers[i]), run + 1, now);
    }
}

} // namespace rattanmount::dispatch
