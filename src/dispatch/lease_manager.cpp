#include "dispatch/lease_manager.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::dispatch {

namespace {

/// Workers without runs need no lease and are polled less often.
constexpr core::milliseconds idle_hold_wait{2000};
/// Longest wait of holds while the log seems to be down, since only recent answers prove that this host
/// leads.
constexpr core::milliseconds outage_hold_wait{500};
/// Shortest time between an answer and the next hold of the same worker.
constexpr core::milliseconds shortest_hold_interval{25};
/// An answer that arrives this long after the end of its wait is logged as slow.
constexpr core::milliseconds slow_hold{400};
/// Workers are excluded as faulty only if there are at least this many workers per faulty one.
constexpr std::size_t least_workers_for_one_suspect = 3;
/// Time in which a worker that has started appears in the platform's list.
constexpr core::milliseconds registration_time{2000};
/// Added to the expiry of a lease and the duration of a stop before runs are given up.
constexpr core::milliseconds expiry_margin{300};

/// @return whether the worker has answered the last hold.
bool answers(const worker_state& worker) {
    return worker.unanswered_holds == 0 && worker.proven.knows_token;
}

/// @return the time from `since` to `now` in milliseconds, as the value of a log field; `none` if `since` is
/// not set.
std::string age_text(core::steady_time since, core::steady_time now) {
    if (since == core::steady_time{}) {
        return "none";
    }
    return std::to_string(std::chrono::duration_cast<core::milliseconds>(now - since).count());
}

/// @return the lease end that a hold carried, as the value of a log field.
std::string lease_text(const hold_order& order) {
    return order.lease_until ? std::to_string(order.lease_until->count()) : "none";
}

/// @return why the reply to a hold does not count as an answer, by the names of the outcomes of orders.
std::string failure_text(const hold_reply& reply) {
    if (reply.fenced) {
        return std::string{to_string(order_outcome::fenced)};
    }
    const auto why = reply.other_incarnation ? order_outcome::other_incarnation : order_outcome::unknown;
    return std::string{to_string(why)};
}

/// Logs runs that a worker lists after this host has counted its lease as expired: tasks of them may have
/// been started elsewhere.
void log_outlasting_runs(const worker_state& worker, const hold_reply& reply) {
    for (const auto& row : reply.running) {
        telemetry::log_state("lease lasted longer than granted",
                             {{"task", row.run.task.text()},
                              {"run", std::to_string(row.run.run)},
                              {"worker", worker.entry.worker.value()},
                              {"incarnation", std::to_string(worker.entry.incarnation.value())},
                              {"lease_until", std::to_string(worker.lease_until.count())},
                              {"worker_clock", std::to_string(reply.clock.count())}},
                             telemetry::log_level::warning);
    }
}

} // namespace

void lease_manager::tick(core::steady_time now) {
    this->update_suspected_workers(now);
    this->state.authority.count_answers(this->state.workers, now);
    std::vector<worker_state*> unknown;
    for (auto place = this->state.workers.begin(); place != this->state.workers.end();) {
        auto& worker = place->second;
        this->resolve_unknown_ends(worker, now);
        if (worker.unanswered_holds > 0 && !worker.runs_given_up && worker.hold_failed_after_expiry &&
            this->runs_certainly_ended(worker, now)) {
            this->give_up_runs(worker, now);
        }
        worker.has_left = !worker.listed && worker.runs.empty() && !worker.may_hide_runs() &&
                          !this->awaits_foreign_lease(worker, now);
        if (worker.has_left && !worker.in_roster && !worker.hold_in_flight) {
            this->state.speeds.forget(place->first);
            place = this->state.workers.erase(place);
            continue;
        }
        if (!worker.hold_in_flight && now >= worker.next_hold_at) {
            if (answers(worker)) {
                this->send(worker, now);
            } else {
                unknown.push_back(&worker);
            }
        }
        const bool accepts = worker.accepts_starts(now);
        if (accepts && !worker.accepted_starts) {
            this->state.freed_workers.insert(place->first);
            this->state.placement_needed = true;
        }
        worker.accepted_starts = accepts;
        ++place;
    }
    this->send_in_turn(std::move(unknown), now);
}

bool lease_manager::awaits_foreign_lease(const worker_state& worker, core::steady_time now) const {
    const bool inherited = this->state.has_predecessor() && worker.answered_holds == 0;
    return worker.restart_unrecorded && !worker.runs_given_up &&
           (now <= worker.foreign_lease_until ||
            (inherited && now <= this->state.authority.foreign_leases_expire_at()));
}

void lease_manager::send_in_turn(std::vector<worker_state*> unknown, core::steady_time now) {
    this->pace.advance(this->state.orders.limit(), this->state.orders.usual_round_trip(), now);
    std::sort(unknown.begin(), unknown.end(),
              [](const worker_state* a, const worker_state* b) { return a->next_hold_at < b->next_hold_at; });
    for (auto* const worker : unknown) {
        if (!this->pace.take()) {
            return;
        }
        this->send(*worker, now);
    }
}

void lease_manager::update_suspected_workers(core::steady_time now) {
    std::size_t faulty = 0;
    for (const auto& [id, worker] : this->state.workers) {
        faulty += worker.seems_faulty(now) ? 1 : 0;
    }
    // If many workers appear faulty, the tasks are at fault.
    const bool plausible = faulty * least_workers_for_one_suspect <= this->state.workers.size();
    for (auto& [id, worker] : this->state.workers) {
        const bool suspected = plausible && faulty > 0 && worker.seems_faulty(now);
        if (suspected != worker.suspected_faulty) {
            telemetry::log_state(suspected ? "worker suspected faulty" : "worker no longer suspected faulty",
                                 {{"worker", id.value()},
                                  {"failures", std::to_string(worker.failures.value_at(now))},
                                  {"successes", std::to_string(worker.successes.value_at(now))}});
            worker.suspected_faulty = suspected;
        }
    }
}

void lease_manager::send(worker_state& worker, core::steady_time now) {
    const bool answering = answers(worker);
    // A worker that may have restarted numbers its ends from 1 again; ends of the new incarnation must not be
    // acknowledged by old numbers.
    hold_order order{.target = this->state.target_of(worker),
                     .acknowledged_ends = answering ? worker.last_end_recorded : 0};
    const bool may_get_lease = answering && !worker.recorded_unreached;
    if (may_get_lease && !worker.runs.empty() && this->state.can_send_orders(now)) {
        order.lease_until = worker.clock.estimate_at(now) + this->state.options.lease_term;
        worker.lease_until = std::max(worker.lease_until, *order.lease_until);
    }
    if (answering) {
        order.wait = this->hold_wait(worker, now);
    }
    worker.hold_in_flight = true;
    worker.hold_sent_at = now;
    worker.hold_sent_after_expiry = this->lease_expired(worker, now);
    this->state.options.hooks.hold(order);
}

core::milliseconds lease_manager::hold_wait(const worker_state& worker, core::steady_time now) const {
    if (worker.more_ends_follow) {
        return core::milliseconds{0}; // The next hold is to be sent as soon as the log has the listed ends.
    }
    const bool outage = this->state.authority.suspects_log_outage(now);
    if (worker.runs.empty()) {
        return outage ? outage_hold_wait : idle_hold_wait;
    }
    const bool lossy = now < this->state.lossy_until;
    const auto wait = lossy ? this->state.options.lossy_hold_wait : this->state.options.hold_wait;
    return outage ? std::min(wait, outage_hold_wait) : wait;
}

void lease_manager::on_reply(const hold_order& order, const hold_reply& reply, core::steady_time now) {
    const auto place = this->state.workers.find(order.target.worker);
    if (place == this->state.workers.end()) {
        return;
    }
    auto& worker = place->second;
    if (order.target.fencing_token != worker.fencing_token) {
        return; // A restart was found since; either incarnation may have answered.
    }
    worker.hold_in_flight = false;
    if (now > worker.hold_sent_at + order.wait + slow_hold) {
        telemetry::log_state("worker answered hold late",
                             {{"worker", worker.entry.worker.value()},
                              {"wait_ms", std::to_string(order.wait.count())},
                              {"sent_ago_ms", age_text(worker.hold_sent_at, now)},
                              {"received_ago_ms", age_text(reply.received_at, now)}});
    }
    if (!reply.answered || reply.fenced || reply.other_incarnation) {
        if (worker.unanswered_holds == 0) {
            telemetry::log_state("worker did not answer hold",
                                 {{"worker", worker.entry.worker.value()},
                                  {"runs", std::to_string(worker.runs.size())},
                                  {"why", failure_text(reply)},
                                  {"sent_to", std::to_string(order.target.incarnation.value())},
                                  {"lease_until", lease_text(order)},
                                  {"sent_ago_ms", age_text(worker.hold_sent_at, now)}});
        }
        this->on_unanswered(worker, now);
        return;
    }
    if (reply.incarnation && *reply.incarnation != worker.entry.incarnation) {
        this->begin_incarnation(worker, *reply.incarnation, now);
    }
    worker.has_reported_incarnation = worker.has_reported_incarnation || reply.incarnation.has_value();
    if (order.target.fencing_token != worker.fencing_token) {
        return; // What the new incarnation holds may still change; it is asked again.
    }
    const bool first = !worker.proven.knows_token;
    if (first) {
        worker.proven = {.knows_token = true, .knows_token_since = worker.hold_sent_at};
        if (worker.restart_unrecorded) {
            this->state.allow_foreign_lease(worker, now); // No order that was sent before can extend it.
        }
    }
    if (worker.unanswered_holds > 0 || first) {
        telemetry::log_state("worker reachable",
                             {{"worker", worker.entry.worker.value()},
                              {"incarnation", std::to_string(worker.entry.incarnation.value())},
                              {"worker_clock", std::to_string(reply.clock.count())},
                              {"sent_to", std::to_string(order.target.incarnation.value())},
                              {"lease_until", lease_text(order)},
                              {"sent_ago_ms", age_text(worker.hold_sent_at, now)}});
        // The answer is younger than its hold, so the runs that it lists have outlasted the expiry.
        if (this->state.inherited_runs_ended(worker.entry.worker, worker.hold_sent_at)) {
            log_outlasting_runs(worker, reply);
        }
    }
    worker.answered_holds++;
    worker.unanswered_holds = 0;
    worker.hold_failed_after_expiry = false;
    worker.runs_given_up = false;
    worker.answered_hold_sent_at = worker.hold_sent_at;
    worker.clock.add_reading(reply.clock, reply.received_at);
    if (order.wait.count() == 0) {
        this->state.add_round_trip(worker, worker.hold_sent_at, now);
    }
    this->apply_inventory(worker, order, reply, now);
}

void lease_manager::apply_inventory(worker_state& worker, const hold_order& order, const hold_reply& reply,
                                    core::steady_time now) {
    for (const auto& end : reply.ended) {
        if (end.number > worker.last_end_applied) {
            this->apply_end(worker, end, now);
        }
    }
    worker.has_unknown_runs = false;
    for (const auto& row : reply.running) {
        this->apply_running(worker, row, now);
    }
    worker.more_ends_follow = !reply.lists_all_ends;
    worker.next_hold_at = this->next_hold_after(order, worker, now);
    if (worker.more_ends_follow) {
        telemetry::log_state("worker may have more ended runs than its answer lists",
                             {{"worker", worker.entry.worker.value()},
                              {"listed", std::to_string(reply.ended.size())},
                              {"last_listed", std::to_string(worker.last_end_applied)},
                              {"acknowledged", std::to_string(order.acknowledged_ends)}});
        this->state.record_immediately = true;
        return;
    }
    this->remove_missing_runs(worker, now);
    worker.proven.inventory_complete = true;
    this->clear_recorded_tasks(worker.entry.worker);
}

core::steady_time lease_manager::next_hold_after(const hold_order& order, const worker_state& worker,
                                                 core::steady_time now) const {
    if (!worker.more_ends_follow) {
        return now + shortest_hold_interval;
    }
    // Without a further acknowledgement, the worker would list the same ends again.
    const bool acknowledges_more = order.acknowledged_ends < worker.last_end_recorded;
    return acknowledges_more ? now : now + this->state.options.hold_retry_interval;
}

core::steady_time lease_manager::next_due(core::steady_time now) const {
    constexpr core::milliseconds longest{200};
    auto due = now + longest;
    for (const auto& [id, worker] : this->state.workers) {
        if (!worker.hold_in_flight) {
            due =
                std::min(due, answers(worker) ? worker.next_hold_at
                                              : std::max(worker.next_hold_at, this->pace.available_at(now)));
        }
    }
    return due;
}

void lease_manager::on_unanswered(worker_state& worker, core::steady_time now) {
    worker.unanswered_holds++;
    this->state.lossy_until = now + this->state.options.lossy_period;
    worker.hold_failed_after_expiry = worker.hold_sent_after_expiry;
    // The first hold is repeated immediately: one lost answer is weak evidence, and the worker gets no starts
    // until it answers.
    const bool again = worker.unanswered_holds > 1;
    worker.next_hold_at = now + (again ? this->state.options.hold_retry_interval : shortest_hold_interval);
}

void lease_manager::begin_incarnation(worker_state& worker, worker_incarnation_id incarnation,
                                      core::steady_time now) {
    telemetry::log_state("worker restarted",
                         {{"worker", worker.entry.worker.value()},
                          {"runs", std::to_string(worker.runs.size())},
                          {"found_by", "answer"},
                          {"from", std::to_string(worker.entry.incarnation.value())},
                          {"to", std::to_string(incarnation.value())},
                          {"lease_until", std::to_string(worker.lease_until.count())},
                          {"former_clock", std::to_string(worker.clock.estimate_at(now).count())},
                          {"hold_age_ms", age_text(worker.hold_sent_at, now)},
                          {"answered_hold_age_ms", age_text(worker.answered_hold_sent_at, now)}});
    worker.entry.incarnation = incarnation;
    worker.clock = {};
    worker.lease_until = worker_time{0};
    worker.last_end_applied = 0;
    worker.unknown_ends.clear();
    worker.last_end_recorded = 0;
    this->state.restart_found(worker, now);
}

void lease_manager::apply_running(worker_state& worker, const reported_run& row, core::steady_time now) {
    const auto& name = row.run.task;
    auto* step = this->state.find_step(name.step);
    if (step == nullptr || name.index >= step->tasks.size()) {
        worker.has_unknown_runs = true;
        this->runs.stop_unknown(worker, row.run, now);
        return;
    }
    auto& task = step->tasks[name.index];
    if (auto* run = run_manager::find_run_on(task, row.run.run, worker.entry.worker)) {
        this->state.mark_begun(*step->job);
        run->last_listing = worker.answered_holds;
        run->incarnation = worker.entry.incarnation;
        run->is_confirmed = run->start_tries == 1; // An earlier try may still be on its way.
        run->checkpoint = row.checkpoint;
        if (run->phase == run_phase::unconfirmed) {
            run->phase = run_phase::running;
            run->answered_at = worker.hold_sent_at;
        }
        return;
    }
    // The run is adopted even if earlier steps appear not to be done: a former leader may have seen their
    // ends without recording them.
    const bool copy_allowed = step->request->allows_copies && !step->request->gang &&
                              !step->request->long_running && task.runs.size() < max_runs_per_task;
    const bool open = !task.done && !step->job->cancelled && (task.runs.empty() || copy_allowed) &&
                      row.run.run > task.ended_run;
    if (!open) {
        worker.has_unknown_runs = true;
        this->runs.stop_unknown(worker, row.run, now);
        return;
    }
    telemetry::log_state("adopted run found on worker",
                         {{"task", name.text()},
                          {"run", std::to_string(row.run.run)},
                          {"worker", worker.entry.worker.value()},
                          {"incarnation", std::to_string(worker.entry.incarnation.value())}});
    std::erase(step->waiting, name.index);
    task.queued = false;
    this->runs.adopt(*step, name.index, worker, row, now).last_listing = worker.answered_holds;
}

void lease_manager::apply_end(worker_state& worker, const reported_end& end, core::steady_time now) {
    worker.last_end_applied = end.number;
    if (this->state.find_step(end.run.task.step) == nullptr) {
        worker.unknown_ends.emplace(end.number, unknown_end{.end = end, .reported_at = now});
        return;
    }
    this->state.unrecorded_ends++;
    this->lifecycle.run_ended(worker, end, now);
}

void lease_manager::resolve_unknown_ends(worker_state& worker, core::steady_time now) {
    std::erase_if(worker.unknown_ends, [&](const auto& place) {
        const auto& [end, reported_at] = place.second;
        const auto& step = end.run.task.step;
        if (this->state.find_step(step) != nullptr) {
            this->lifecycle.run_ended(worker, end, now);
        } else if (!this->state.certainly_lacks(step, reported_at)) {
            return false;
        }
        this->state.unrecorded_ends++;
        return true;
    });
}

void lease_manager::remove_missing_runs(worker_state& worker, core::steady_time now) {
    std::vector<workflow::run_name> missing;
    for (const auto& name : worker.runs) {
        auto* step = this->state.find_step(name.task.step);
        const auto* run = step == nullptr ? nullptr
                                          : run_manager::find_run_on(step->tasks[name.task.index], name.run,
                                                                     worker.entry.worker);
        const bool expected = run != nullptr && run->answered_at && *run->answered_at < worker.hold_sent_at;
        if (expected && run->last_listing != worker.answered_holds) {
            missing.push_back(name);
        }
    }
    for (const auto& name : missing) {
        this->lifecycle.run_lost(*this->state.find_step(name.task.step), name.task.index, name.run,
                                 worker.entry.worker, now);
    }
}

void lease_manager::give_up_runs(worker_state& worker, core::steady_time now) {
    std::vector<workflow::run_name> lost;
    for (const auto& name : worker.runs) {
        if (this->certainly_ended(worker, name, now)) {
            lost.push_back(name);
        }
    }
    if (!lost.empty()) {
        telemetry::log_state("worker lease expired; giving up its runs",
                             {{"worker", worker.entry.worker.value()},
                              {"runs", std::to_string(worker.runs.size())},
                              {"incarnation", std::to_string(worker.entry.incarnation.value())},
                              {"lease_until", std::to_string(worker.lease_until.count())},
                              {"worker_clock", std::to_string(worker.clock.estimate_at(now).count())},
                              {"hold_age_ms", age_text(worker.hold_sent_at, now)}});
    }
    for (const auto& name : lost) {
        if (auto* step = this->state.find_step(name.task.step)) {
            this->lifecycle.run_lost(*step, name.task.index, name.run, worker.entry.worker, now);
        }
    }
    this->clear_recorded_tasks(worker.entry.worker);
    worker.runs_given_up = worker.runs.empty();
}

bool lease_manager::certainly_ended(const worker_state& worker, const workflow::run_name& name,
                                    core::steady_time now) const {
    auto* step = this->state.find_step(name.task.step);
    const auto* run = step == nullptr ? nullptr
                                      : run_manager::find_run_on(step->tasks[name.task.index], name.run,
                                                                 worker.entry.worker);
    if (run == nullptr || run->is_confirmed) {
        return true;
    }
    // An incarnation that nobody has found yet may have carried out an unconfirmed start. The platform's list
    // shows it soon, unless the store, which has the log as well, does not answer.
    return this->state.log_read_at > run->start_sent_at + registration_time ||
           now > run->start_sent_at + this->state.longest_lease() + this->state.options.max_stop_duration +
                     expiry_margin;
}

void lease_manager::clear_recorded_tasks(const core::worker_id& worker) {
    const auto recorded = this->state.recorded_tasks.extract(worker);
    if (recorded.empty()) {
        return;
    }
    for (const auto& name : recorded.mapped()) {
        auto* step = this->state.find_step(name.step);
        if (step == nullptr || step->tasks[name.index].recorded_worker != worker) {
            continue;
        }
        step->tasks[name.index].recorded_worker = {};
        step->needs_placement = true;
        this->state.placement_needed = true;
    }
}

bool lease_manager::runs_certainly_ended(const worker_state& worker, core::steady_time now) const {
    return this->lease_expired(worker, now - this->state.options.max_stop_duration - expiry_margin);
}

bool lease_manager::lease_expired(const worker_state& worker, core::steady_time now) const {
    // A former leader may have extended the lease beyond what this host knows.
    const bool restart_inherited = worker.restart_unrecorded && worker.answered_holds == 0;
    if (this->state.has_predecessor() &&
        now <= (restart_inherited ? this->state.authority.foreign_leases_expire_at()
                                  : this->state.inherited_leases_expire_at())) {
        return false;
    }
    if (now <= std::max(worker.foreign_lease_until,
                        this->state.authority.recorded_foreign_lease_expires_at(worker.entry.worker))) {
        return false;
    }
    return !worker.clock.has_reading() || now > worker.clock.latest_local_time(worker.lease_until);
}

} // namespace rattanmount::dispatch
