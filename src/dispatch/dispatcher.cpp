#include "dispatch/dispatcher.h"

#include "dispatch/placement_explainer.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two placements, so that ends of runs in quick succession are handled by one
/// placement.
constexpr core::milliseconds place_interval{4};

std::vector<const workflow::job_entry*> in_order_of_arrival(const workflow::cell_state& cell) {
    std::vector<const workflow::job_entry*> entries;
    entries.reserve(cell.jobs().size());
    for (const auto& [key, entry] : cell.jobs()) {
        entries.push_back(entry.get());
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto* a, const auto* b) { return a->arrival < b->arrival; });
    return entries;
}

/// @return the number of the first occurrence such that the log has no progress of it or of a later one.
std::uint32_t first_unrecorded_occurrence(const workflow::job_entry& entry) {
    auto first = static_cast<std::uint32_t>(entry.progress.complete_occurrences.size());
    for (const auto& step : entry.progress.steps) {
        first = std::max(first, step.occurrence + 1);
    }
    for (const auto& [id, part] : entry.parts) {
        first = std::max(first, part.steps.empty() ? 0 : id.occurrence + 1);
    }
    return first;
}

/// @return a duration in milliseconds, as the value of a log field.
std::string milliseconds_text(core::steady_time::duration duration) {
    return std::to_string(std::chrono::duration_cast<core::milliseconds>(duration).count());
}

/// Logs the workers on which the log has tasks that this leader has not found there, and for how long it
/// still counts with them.
void log_workers_with_missing_tasks(dispatch_state& state, core::steady_time now) {
    for (const auto& [worker, names] : state.recorded_tasks) {
        const auto tasks = std::count_if(names.begin(), names.end(), [&state, &worker = worker](auto& name) {
            const auto* step = state.find_step(name.step);
            return step != nullptr && step->tasks[name.index].recorded_worker == worker;
        });
        if (tasks == 0) {
            continue;
        }
        const auto left = state.authority.inherited_leases_expire_at(worker) - now;
        telemetry::log_state("tasks of former leaders were not found on worker",
                             {{"worker", worker.value()},
                              {"tasks", std::to_string(tasks)},
                              {"inherited_leases_ms", milliseconds_text(left)},
                              {"unreached_before", state.authority.was_unreached(worker) ? "yes" : "no"}});
    }
}

} // namespace

dispatcher::dispatcher(dispatch_options options)
    : state{.options = std::move(options)}, runs(this->state), lifecycle(this->state, this->runs),
      leases(this->state, this->runs, this->lifecycle), retrier(this->state, this->runs),
      recorder(this->state), used_workers(this->state), selector(this->state),
      advice(this->state, this->selector),
      gangs(this->state, this->runs, this->lifecycle, this->selector, this->make_start_check()),
      mover(this->state, this->runs, this->selector, this->advice, this->make_move_check()),
      preemptor(this->state, this->runs, this->selector, this->make_start_check()),
      copies(this->state, this->runs, this->selector, this->advice, this->make_start_check()),
      former_runs(this->state) {}

void dispatcher::start_leading(core::epoch_id epoch, const workflow::cell_state& cell, core::steady_time now,
                               core::steady_time list_complete_at) {
    this->stop_leading();
    this->state.leading = true;
    this->state.epoch = epoch;
    const core::epoch_id former{epoch.value() - 1};
    this->state.raised_tokens = 0;
    this->state.authority.begin(cell.roster(), now, cell.unreached_in(former), cell.restarted());
    this->state.list_complete_at = list_complete_at;
    this->was_fenced = false;
    this->predecessor_settled = false;
    this->inherited_leases_expired = false;
    for (auto& [id, worker] : this->state.workers) {
        worker.fencing_token = this->state.highest_token();
    }
    this->used_workers.begin(cell.roster(), cell.roster_incarnations(), now);
    this->former_runs.begin(cell);
    for (const auto* entry : in_order_of_arrival(cell)) {
        const auto& key = entry->accepted.request.key;
        if (!workflow::is_over(entry->phase())) {
            this->open_job(*entry);
            this->state.jobs.at(key)->inherited = true;
            continue;
        }
        static_cast<void>(this->count_towards_rate(*entry)); // Jobs that are over count as well.
        if (!entry->accepted.request.steps.empty() || !entry->parts.empty()) {
            this->state.closed_jobs.emplace(
                key, closed_job{.phase = entry->phase(), .parts = entry->recorded_parts()});
        }
    }
    telemetry::log_state(
        "started to lead the cell",
        {{"epoch", std::to_string(epoch.value())},
         {"jobs", std::to_string(this->state.jobs.size())},
         {"workers", std::to_string(this->state.workers.size())},
         {"roster", std::to_string(cell.roster().size())},
         {"inherited_leases_ms", milliseconds_text(this->state.inherited_leases_expire_at() - now)}});
}

void dispatcher::stop_leading() {
    this->state.leading = false;
    this->state.jobs.clear();
    this->state.ready_steps.clear();
    this->state.dirty_jobs.clear();
    this->state.unproven_jobs.clear();
    this->state.jobs_awaiting_occurrences.clear();
    this->state.closing_jobs.clear();
    this->state.closed_jobs.clear();
    this->state.freed_workers.clear();
    this->state.recorded_tasks.clear();
    this->state.orders = order_window{};
    this->state.round_trips.clear();
    this->state.retries.clear();
    this->state.record_immediately = false;
    this->state.teams.reset();
    this->former_runs.reset();
    this->rates.reset();
    this->reports.reset();
    this->state.speeds.reset();
    this->recorder.reset();
    this->advice.reset();
    this->gangs.reset();
    this->mover.reset();
    this->preemptor.reset();
    this->copies.reset();
    for (auto& [id, worker] : this->state.workers) {
        worker = worker_state{
            .entry = worker.entry, .listed = worker.listed, .listed_incarnation = worker.listed_incarnation};
    }
}

void dispatcher::set_worker(const worker_entry& entry, core::steady_time now) {
    auto [place, added] = this->state.workers.try_emplace(entry.worker);
    auto& worker = place->second;
    worker.listed = true;
    if (added) {
        worker.entry = entry;
        worker.listed_incarnation = entry.incarnation;
        this->state.raise_token(worker); // It may have had orders before it was forgotten.
        this->used_workers.add(worker, now);
        return;
    }
    if (worker.has_reported_incarnation && entry.incarnation < worker.entry.incarnation) {
        return; // A late entry of an earlier incarnation.
    }
    const bool same_incarnation = entry.incarnation == worker.entry.incarnation;
    if (entry.draining && !worker.entry.draining) {
        worker.drains++;
        telemetry::log_state("worker is draining", {{"worker", entry.worker.value()},
                                                    {"runs", std::to_string(worker.runs.size())}});
    }
    const auto known_incarnation = worker.entry.incarnation;
    if (!same_incarnation && entry.incarnation != worker.listed_incarnation) {
        telemetry::log_state("worker restarted", {{"worker", entry.worker.value()},
                                                  {"runs", std::to_string(worker.runs.size())},
                                                  {"found_by", "list"},
                                                  {"from", std::to_string(known_incarnation.value())},
                                                  {"to", std::to_string(entry.incarnation.value())},
                                                  {"lease_until", std::to_string(worker.lease_until.count())},
                                                  {"leading", this->state.leading ? "yes" : "no"}});
    }
    if (entry.labels != worker.entry.labels) {
        this->state.speeds.forget(entry.worker);
    }
    worker.entry = entry;
    worker.listed_incarnation = entry.incarnation;
    worker.drained_runs_recorded = worker.drained_runs_recorded && entry.draining && same_incarnation;
    if (!same_incarnation) {
        if (worker.has_reported_incarnation) {
            worker.entry.incarnation = known_incarnation;
        }
        this->state.restart_found(worker, now); // The answer to the next hold reports the new incarnation.
    }
}

void dispatcher::drop_worker(const core::worker_id& worker) {
    const auto place = this->state.workers.find(worker);
    if (place != this->state.workers.end() && place->second.listed) {
        place->second.listed = false;
        telemetry::log_state(
            "worker left the platform's list",
            {{"worker", worker.value()}, {"runs", std::to_string(place->second.runs.size())}});
    }
}

void dispatcher::set_worker_list(const std::vector<worker_entry>& listed, core::steady_time now) {
    std::set<core::worker_id> names;
    for (const auto& entry : listed) {
        names.insert(entry.worker);
        this->set_worker(entry, now);
    }
    std::vector<core::worker_id> gone;
    for (const auto& [id, worker] : this->state.workers) {
        if (!names.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        this->drop_worker(id);
    }
    this->state.worker_list_read = true;
}

void dispatcher::set_teams(const std::vector<tenancy::team_policy>& teams) {
    const bool changed = this->state.teams.set_policies(teams);
    this->state.placement_needed = this->state.placement_needed || changed;
    this->preemptor.set_enabled(!teams.empty());
}

void dispatcher::confirm_leadership(core::steady_time asked_at) {
    this->state.authority.confirm_by_log(asked_at);
    const auto unproven = this->state.unproven_jobs;
    for (const auto& key : unproven) {
        const auto job = this->state.jobs.find(key);
        if (job == this->state.jobs.end() || job->second->unproven_since <= asked_at) {
            this->permit_starts(key);
        }
    }
}

void dispatcher::add_job(const workflow::job_entry& entry) {
    if (this->state.leading && !workflow::is_over(entry.phase())) {
        this->open_job(entry);
    }
}

void dispatcher::add_stored_job(const workflow::job_entry& entry, core::steady_time now) {
    if (this->state.leading && !workflow::is_over(entry.phase())) {
        this->open_job(entry);
        const auto& key = entry.accepted.request.key;
        this->state.jobs.at(key)->unproven_since = now;
        this->state.unproven_jobs.insert(key);
    }
}

void dispatcher::permit_starts(const workflow::job_key& key) {
    if (this->state.unproven_jobs.erase(key) == 0) {
        return;
    }
    const auto job = this->state.jobs.find(key);
    if (job == this->state.jobs.end()) {
        return; // It was cancelled.
    }
    job->second->unproven_since.reset();
    for (auto& [number, occurrence] : job->second->occurrences) {
        for (auto& step : occurrence.steps) {
            step.needs_placement = true;
        }
    }
    this->state.placement_needed = true;
}

void dispatcher::open_job(const workflow::job_entry& entry) {
    const auto& key = entry.accepted.request.key;
    auto [place, added] = this->state.jobs.try_emplace(key);
    if (!added) {
        return;
    }
    place->second = std::make_unique<live_job>();
    auto& job = *place->second;
    job.entry = &entry;
    job.phase = entry.progress.phase;
    job.layout.emplace(entry.accepted);
    const auto parts = entry.recorded_parts();
    job.recorded_parts = {parts.begin(), parts.end()};
    job.recorded_in_parts = entry.progress.in_parts;
    job.folded_occurrences = entry.progress.complete_occurrences;
    job.beyond_rate = !this->count_towards_rate(entry);
    job.first_unrecorded_occurrence = first_unrecorded_occurrence(entry);
    this->state.jobs_awaiting_occurrences.insert(key);
}

bool dispatcher::count_towards_rate(const workflow::job_entry& entry) {
    const auto& job = entry.accepted;
    const auto* policy = this->state.teams.policy_of(job.team);
    return policy == nullptr || policy->jobs_per_second <= 0 ||
           this->rates.admit(job.team, policy->jobs_per_second, job.accepted_at);
}

void dispatcher::cancel_job(const workflow::job_key& key, core::steady_time now) {
    const auto found = this->state.jobs.find(key);
    if (found != this->state.jobs.end() && !workflow::is_over(found->second->phase)) {
        this->lifecycle.stop_job(*found->second, now);
    }
}

void dispatcher::on_start_reply(const start_order& order, const order_reply& reply, core::steady_time now) {
    auto* step = this->state.find_step(order.run.task.step);
    if (!this->count_reply(order.target, reply, order.sent_at, now) || step == nullptr) {
        return;
    }
    if (reply.outcome == order_outcome::done) {
        this->state.mark_begun(*step->job);
    }
    const auto index = order.run.task.index;
    auto* run = run_manager::find_run_on(step->tasks[index], order.run.run, order.target.worker);
    if (run == nullptr || run->phase == run_phase::stopping) {
        return;
    }
    auto& worker = this->state.workers.at(run->worker);
    if (reply.outcome == order_outcome::done) {
        run->phase = run_phase::running;
        run->answered_at = now;
        run->is_confirmed = run->is_confirmed || (run->start_tries == 1 && reply.clock &&
                                                  order.target.fencing_token == worker.fencing_token);
        return;
    }
    telemetry::log_state("start not confirmed",
                         {{"task", order.run.task.text()},
                          {"run", std::to_string(order.run.run)},
                          {"worker", run->worker.value()},
                          {"why", std::string{to_string(reply.outcome)}},
                          {"sent_to", std::to_string(order.target.incarnation.value())},
                          {"incarnation", std::to_string(worker.entry.incarnation.value())},
                          {"lease_until", std::to_string(order.lease_until.count())}});
    if (reply.outcome == order_outcome::unknown || run->start_tries > 1) {
        // An earlier try may still be carried out, so a refusal of this try does not mean that the run will
        // not start.
        run->phase = run_phase::unconfirmed;
        run->retry_at = now;
        if (reply.outcome == order_outcome::not_sent) {
            run->start_tries--; // This try does not count; an earlier one is in doubt.
            run->retry_at = now + this->state.options.order_retry_interval;
        } else if (reply.outcome != order_outcome::unknown) {
            run->start_tries = this->state.options.max_start_tries;
        } else {
            this->state.lossy_until = now + this->state.options.lossy_period;
        }
        this->state.retries.add(run->retry_at, order.run);
        return;
    }
    if (reply.outcome == order_outcome::ticket_rejected) {
        step->advice.allowed.erase(run->worker);
    } else {
        worker.avoid_until = now + this->state.options.refusal_backoff;
    }
    this->lifecycle.run_refused(*step, index, order.run.run, order.target.worker, now);
}

bool dispatcher::count_reply(const order_target& target, const order_reply& reply, core::steady_time sent_at,
                             core::steady_time now) {
    if (!this->state.leading || target.fencing_token.epoch != this->state.epoch) {
        return false;
    }
    this->state.order_finished(target, reply.outcome, sent_at, now);
    this->note_refusal(target, reply.outcome == order_outcome::fenced);
    this->compare_clock(target, reply, sent_at, now);
    this->state.placement_needed = this->state.placement_needed || this->starts_wait_for_room;
    return true;
}

void dispatcher::note_refusal(const order_target& target, bool fenced) {
    const auto worker = this->state.workers.find(target.worker);
    // A worker that has restarted may know the token that this host has raised for it since.
    const bool current =
        worker != this->state.workers.end() && worker->second.fencing_token == target.fencing_token;
    this->was_fenced = this->was_fenced || (fenced && current);
}

void dispatcher::compare_clock(const order_target& target, const order_reply& reply,
                               core::steady_time sent_at, core::steady_time now) {
    const auto place = this->state.workers.find(target.worker);
    if (!reply.clock || place == this->state.workers.end() ||
        place->second.fencing_token != target.fencing_token) {
        return;
    }
    auto& worker = place->second;
    if (*reply.clock >= worker.clock.lowest_at(sent_at)) {
        return;
    }
    telemetry::log_state("worker restarted",
                         {{"worker", target.worker.value()},
                          {"runs", std::to_string(worker.runs.size())},
                          {"found_by", "clock"},
                          {"from", std::to_string(worker.entry.incarnation.value())},
                          {"worker_clock", std::to_string(reply.clock->count())},
                          {"former_clock", std::to_string(worker.clock.estimate_at(now).count())},
                          {"lease_until", std::to_string(worker.lease_until.count())}});
    this->state.restart_found(worker, now);
}

void dispatcher::on_stop_reply(const stop_order& order, const order_reply& reply, core::steady_time now) {
    auto* step = this->state.find_step(order.run.task.step);
    if (!this->count_reply(order.target, reply, order.sent_at, now) || step == nullptr) {
        return;
    }
    auto* run =
        run_manager::find_run_on(step->tasks[order.run.task.index], order.run.run, order.target.worker);
    if (run == nullptr || run->phase != run_phase::stopping) {
        return;
    }
    if (reply.outcome == order_outcome::done || reply.outcome == order_outcome::superseded) {
        run->answered_at = now;
    }
}

void dispatcher::on_hold_reply(const hold_order& order, const hold_reply& reply, core::steady_time now) {
    if (!this->state.leading || order.target.fencing_token.epoch != this->state.epoch) {
        return;
    }
    this->note_refusal(order.target, reply.fenced);
    this->leases.on_reply(order, reply, now);
}

void dispatcher::on_advice_reply(const advice_order& order, core::steady_time asked_at,
                                 const advice_reply& reply, core::steady_time now) {
    if (this->state.leading) {
        this->advice.on_reply(order, asked_at, reply, now);
    }
}

void dispatcher::run(core::steady_time now, core::system_time system) {
    if (!this->state.leading) {
        return;
    }
    std::erase_if(this->state.jobs_awaiting_occurrences, [&](const workflow::job_key& key) {
        const auto job = this->state.jobs.find(key);
        if (job == this->state.jobs.end()) {
            return true;
        }
        this->open_due_occurrences(*job->second, now, system);
        return job->second->next_occurrence == job->second->entry->accepted.request.occurrences();
    });
    this->leases.tick(now);
    this->retrier.run(now);
    this->gangs.tick(now);
    this->mover.tick(now);
    this->preemptor.tick(now);
    if (this->state.can_send_orders(now) && this->state.worker_list_read &&
        now >= this->placed_at + place_interval) {
        this->placed_at = now;
        this->place_all(now);
        this->copies.tick(now);
    }
    this->recorder.close_ended_jobs();
}

core::steady_time dispatcher::next_due(core::steady_time now) const {
    constexpr core::milliseconds idle_interval{1000};
    if (!this->state.leading) {
        return now + idle_interval;
    }
    const auto due = std::min(this->leases.next_due(now), this->mover.next_due(now));
    return this->state.placement_needed ? std::min(due, this->placed_at + place_interval) : due;
}

void dispatcher::roster_recorded(core::epoch_id epoch, const workflow::roster_record& record) {
    if (this->state.leading && epoch == this->state.epoch) {
        this->used_workers.recorded(record);
    }
}

placement_explanation dispatcher::explain(const workflow::job_accepted& job, core::steady_time now) const {
    return placement_explainer{this->state, this->selector}.explain(job, now);
}

void dispatcher::open_due_occurrences(live_job& job, core::steady_time now, core::system_time system) {
    const auto& request = job.entry->accepted.request;
    while (!job.cancelled && job.next_occurrence < request.occurrences()) {
        const bool due = !request.recurs || job.next_occurrence < job.first_unrecorded_occurrence ||
                         request.recurs->first + request.recurs->interval * job.next_occurrence <= system;
        if (!due) {
            return;
        }
        const auto occurrence = job.next_occurrence++;
        if (occurrence < job.folded_occurrences.size() && job.folded_occurrences[occurrence]) {
            job.complete_occurrences++;
            continue;
        }
        add_occurrence(job, occurrence, this->state.epoch, request.recurs ? now : job.entry->learned_at);
        this->index_recorded_tasks(job.occurrences.at(occurrence));
        this->lifecycle.queue_unblocked_steps(job, occurrence, now);
    }
}

void dispatcher::index_recorded_tasks(const live_occurrence& occurrence) {
    for (const auto& step : occurrence.steps) {
        for (std::uint32_t i = 0; i < step.tasks.size(); i++) {
            if (const auto& worker = step.tasks[i].recorded_worker; !worker.empty()) {
                this->state.recorded_tasks[worker].push_back({.step = step.name, .index = i});
            }
        }
    }
}

void dispatcher::place_all(core::steady_time now) {
    this->starts_wait_for_room = !this->state.orders.has_room();
    if (this->starts_wait_for_room) {
        this->state.placement_needed = false; // Set again by the next reply.
        return;
    }
    const auto freed = std::exchange(this->state.freed_workers, {});
    this->state.placement_needed = false;
    const bool leases_expired =
        !this->inherited_leases_expired && now >= this->state.inherited_leases_expire_at();
    const bool workers_settled =
        !this->predecessor_settled && this->used_workers.inherited_workers_settled(now);
    this->inherited_leases_expired = this->inherited_leases_expired || leases_expired;
    this->predecessor_settled = this->predecessor_settled || workers_settled;
    if (workers_settled) {
        log_workers_with_missing_tasks(this->state, now);
    }
    const bool settles = leases_expired || workers_settled;
    this->former_runs.update(this->predecessor_settled, now);
    const team_shares shares{this->state};
    const auto standing = [&](live_step& step) { return this->standing_of(step, shares); };
    for (auto* step : this->order.arrange(this->state.ready_steps, standing, now)) {
        if (!this->state.orders.has_room()) {
            this->starts_wait_for_room = true;
            step->needs_placement = step->needs_placement || settles || !freed.empty();
            this->advice.ask(*step, this->tasks_within_cap(*step), now);
            continue;
        }
        const auto waiting = step->waiting.size();
        this->place_if_due(*step, freed, settles, now);
        if (step->waiting.size() < waiting) {
            this->order.on_started(shares.standing_of(*step));
        }
        if (step->waiting.empty()) {
            this->state.ready_steps.erase(sort_key_of(*step));
        } else if (const auto places = this->tasks_within_cap(*step); places > 0) {
            this->advice.ask(*step, places, now);
            if (!step->advice.request_in_flight && !step->job->unproven_since) {
                this->gangs.yield_to(*step, now); // No worker has room for it.
                this->preemptor.make_room(*step, now);
            }
        }
    }
    this->reports.log_changes(this->state, now);
}

std::optional<team_standing> dispatcher::standing_of(live_step& step, const team_shares& shares) {
    if (this->team_has_room(step)) {
        return shares.standing_of(step);
    }
    step.needs_placement = true; // Once there is room, all workers have to be looked at.
    this->reports.on_held(step.job->team());
    return std::nullopt;
}

void dispatcher::place_if_due(live_step& step, const std::set<core::worker_id>& freed, bool settles,
                              core::steady_time now) {
    const bool due = step.request->gang && now >= step.place_again_at;
    if (!step.needs_placement && !settles && freed.empty() && !due) {
        return;
    }
    if (step.request->gang) {
        this->gangs.place(step, now);
    } else {
        this->place_step(step, settles ? std::set<core::worker_id>{} : freed, now);
    }
}

void dispatcher::place_step(live_step& step, const std::set<core::worker_id>& freed, core::steady_time now) {
    std::deque<std::uint32_t> left;
    bool may_find_worker = true;
    const bool look_everywhere = std::exchange(step.needs_placement, false) || freed.empty();
    for (const auto index : step.waiting) {
        auto& task = step.tasks[index];
        std::optional<core::worker_id> worker;
        if (!this->state.orders.has_room()) {
            this->starts_wait_for_room = true;
            step.needs_placement = true;
        } else if (!this->team_has_room(step)) {
            step.needs_placement = true;
        } else if (may_find_worker && this->may_start(step, task, now)) {
            worker = look_everywhere ? this->selector.choose(step, index, now)
                                     : this->selector.choose_among(step, index, freed, now);
            may_find_worker = worker.has_value();
        }
        if (!worker) {
            left.push_back(index);
            continue;
        }
        task.queued = false;
        this->runs.start(step, index, this->state.workers.at(*worker), task.last_run + 1, now);
    }
    if (left.size() < step.waiting.size()) {
        this->order.on_started(step, now);
    }
    step.waiting = std::move(left);
}

start_check dispatcher::make_start_check() const {
    return [this](const live_step& step, const live_task& task, core::steady_time now) {
        return this->may_start(step, task, now);
    };
}

start_check dispatcher::make_move_check() const {
    return [this](const live_step& step, const live_task& task, core::steady_time now) {
        return this->may_move(step, task, now);
    };
}

bool dispatcher::may_start(const live_step& step, const live_task& task, core::steady_time now) const {
    return !step.job->unproven_since && this->team_has_room(step) && task.may_number_run() &&
           this->former_runs_ended(step, task, now);
}

bool dispatcher::may_move(const live_step& step, const live_task& task, core::steady_time now) const {
    // While the task runs, it already counts.
    const auto added = task.runs.empty() ? reserved_resources(*step.request) : core::resources{};
    return this->state.teams.has_room_without_places(step.job->team(), added) && task.may_number_run() &&
           this->former_runs_ended(step, task, now);
}

bool dispatcher::former_runs_ended(const live_step& step, const live_task& task,
                                   core::steady_time now) const {
    if (!step.job->inherited) {
        return true;
    }
    const bool may_run =
        !task.recorded_worker.empty() && !this->state.inherited_runs_ended(task.recorded_worker, now);
    return this->predecessor_settled && !may_run;
}

bool dispatcher::team_has_room(const live_step& step) const {
    const auto tasks = step.request->gang ? step.tasks.size() - step.kept_workers.size() : 1;
    return this->state.teams.has_room(step.job->team(),
                                      reserved_resources(*step.request) * static_cast<std::int64_t>(tasks));
}

std::size_t dispatcher::tasks_within_cap(const live_step& step) const {
    if (step.request->gang) {
        return this->team_has_room(step) ? step.waiting.size() : 0;
    }
    return std::min(step.waiting.size(),
                    this->state.teams.tasks_within_cap(step.job->team(), reserved_resources(*step.request)));
}

} // namespace rattanmount::dispatch
