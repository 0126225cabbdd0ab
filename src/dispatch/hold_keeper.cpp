#include "dispatch/hold_keeper.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <vector>

namespace rattanmount::dispatch {

namespace {

/// A worker lists at most so many ends in one answer; where it does, others may be missing.
constexpr std::size_t most_ends_listed = 500;
/// Without a sign that this host leads for so long, leases are made long, since the log may be down.
constexpr core::milliseconds outage_suspected{1000};
/// A worker without runs needs no lease; it is looked at less often.
constexpr core::milliseconds idle_hold_wait{2000};
/// How long to wait at least between two holds of one worker that are answered at once.
constexpr core::milliseconds shortest_hold_interval{25};
/// An answer that comes so much later than the wait is worth a line of the log.
constexpr core::milliseconds slow_hold{400};
/// Workers are left out as faulty only where there are so many for each of them.
constexpr std::size_t least_workers_for_one_suspect = 3;
/// On top of a lapsed lease and the time of a stop.
constexpr core::milliseconds lapse_margin{300};

} // namespace

void hold_keeper::tick(core::steady_time now) {
    this->suspect_faulty(now);
    for (auto place = this->state.workers.begin(); place != this->state.workers.end();) {
        auto& worker = place->second;
        if (worker.unanswered > 0 && !worker.given_up && worker.asked_after_lapse &&
            this->lapsed(worker, now)) {
            this->give_up_runs(worker, now);
        }
        if (!worker.listed && worker.runs.empty() && !worker.hold_out) {
            place = this->state.workers.erase(place);
            continue;
        }
        if (!worker.hold_out && now >= worker.next_hold) {
            this->send(worker, now);
        }
        const bool accepts = worker.accepts(now);
        if (accepts && !worker.accepted) {
            this->state.freed.insert(place->first);
            this->state.place_wanted = true;
        }
        worker.accepted = accepts;
        ++place;
    }
}

void hold_keeper::suspect_faulty(core::steady_time now) {
    std::size_t faulty = 0;
    for (const auto& [id, worker] : this->state.workers) {
        faulty += worker.seems_faulty(now) ? 1 : 0;
    }
    // Where many seem to fail, the fault lies with the work.
    const bool believed = faulty * least_workers_for_one_suspect <= this->state.workers.size();
    for (auto& [id, worker] : this->state.workers) {
        const bool suspected = believed && faulty > 0 && worker.seems_faulty(now);
        if (suspected != worker.suspected) {
            telemetry::log_state(suspected ? "worker suspected" : "worker no longer suspected",
                                 {{"worker", id.value()},
                                  {"failures", std::to_string(worker.failures.at(now))},
                                  {"successes", std::to_string(worker.successes.at(now))}});
            worker.suspected = suspected;
        }
    }
}

void hold_keeper::send(worker_state& worker, core::steady_time now) {
    const bool answering = worker.unanswered == 0 && worker.held;
    // A worker that may have begun another life counts its ends anew; it must not forget those of the new
    // one.
    hold_order order{.target = this->state.target_of(worker),
                     .forget_ends_to = answering ? worker.ends_stored : 0};
    if (answering && !worker.runs.empty() && this->state.may_act(now)) {
        const bool outage = now - this->state.confirmed_at > outage_suspected;
        const auto term = outage ? this->state.options.outage_lease_term : this->state.options.lease_term;
        order.lease_until = worker.clock.at(now) + term;
        worker.lease_until = std::max(worker.lease_until, *order.lease_until);
    }
    if (answering) {
        const bool lossy = now < this->state.lossy_until;
        const auto wait = lossy ? this->state.options.short_hold_wait : this->state.options.hold_wait;
        order.wait = worker.runs.empty() ? idle_hold_wait : wait;
    }
    worker.hold_out = true;
    worker.hold_sent = now;
    worker.hold_after_lapse = this->lease_over(worker, now);
    this->state.options.hooks.hold(order);
}

void hold_keeper::on_reply(const hold_order& order, const hold_reply& reply, core::steady_time now) {
    const auto place = this->state.workers.find(order.target.worker);
    if (place == this->state.workers.end()) {
        return;
    }
    auto& worker = place->second;
    worker.hold_out = false;
    if (now > worker.hold_sent + order.wait + slow_hold) {
        const auto age = [now](core::steady_time since) {
            return std::to_string(std::chrono::duration_cast<core::milliseconds>(now - since).count());
        };
        telemetry::log_state("slow answer to a hold", {{"worker", worker.entry.worker.value()},
                                                       {"wait_ms", std::to_string(order.wait.count())},
                                                       {"sent_ago_ms", age(worker.hold_sent)},
                                                       {"received_ago_ms", age(reply.received_at)}});
    }
    if (!reply.answered || reply.fenced || reply.other_life) {
        this->unanswered(worker, now);
        return;
    }
    if (reply.life && *reply.life != worker.entry.life) {
        this->begin_life(worker, *reply.life, now);
    }
    const bool first = !worker.held;
    if (worker.unanswered > 0 || first) {
        telemetry::log_state("worker answers", {{"worker", worker.entry.worker.value()}});
    }
    worker.hold_number++;
    worker.unanswered = 0;
    worker.asked_after_lapse = false;
    worker.given_up = false;
    worker.held = true;
    worker.next_hold = now + shortest_hold_interval;
    worker.clock.read(reply.clock, reply.received_at);
    for (const auto& end : reply.ended) {
        if (end.number > worker.ends_seen) {
            worker.ends_seen = end.number;
            this->state.ends_unrecorded++;
            this->flow.run_ended(worker, end, now);
        }
    }
    worker.foreign_runs = false;
    for (const auto& row : reply.running) {
        this->take_running(worker, row, now);
    }
    if (reply.ended.size() < most_ends_listed) {
        this->take_missing(worker, now);
    }
    if (first) {
        this->forget_records_of(worker.entry.worker);
    }
}

core::steady_time hold_keeper::next_due(core::steady_time now) const {
    constexpr core::milliseconds longest{200};
    auto due = now + longest;
    for (const auto& [id, worker] : this->state.workers) {
        if (!worker.hold_out) {
            due = std::min(due, worker.next_hold);
        }
    }
    return due;
}

void hold_keeper::unanswered(worker_state& worker, core::steady_time now) {
    worker.unanswered++;
    this->state.lossy_until = now + this->state.options.lossy_time;
    worker.asked_after_lapse = worker.hold_after_lapse;
    // The first is repeated at once: one lost answer tells little, and nothing starts there meanwhile.
    const bool again = worker.unanswered > 1;
    worker.next_hold = now + (again ? this->state.options.hold_retry : shortest_hold_interval);
    if (worker.unanswered == 1) {
        telemetry::log_state("worker does not answer", {{"worker", worker.entry.worker.value()},
                                                        {"runs", std::to_string(worker.runs.size())}});
    }
}

void hold_keeper::begin_life(worker_state& worker, life_id life, core::steady_time now) {
    telemetry::log_state("worker began another life", {{"worker", worker.entry.worker.value()},
                                                       {"runs", std::to_string(worker.runs.size())}});
    worker.entry.life = life;
    worker.clock = {};
    worker.lease_until = worker_time{0};
    worker.lease_floor = now + this->state.options.longest_lease;
    worker.ends_seen = 0;
    worker.ends_stored = 0;
    worker.held = false;
}

void hold_keeper::take_running(worker_state& worker, const running_row& row, core::steady_time now) {
    const auto& name = row.run.task;
    auto* step = this->state.find_step(name.step);
    if (step == nullptr || name.index >= step->tasks.size()) {
        worker.foreign_runs = true;
        this->runs.stop_foreign(worker, row.run);
        return;
    }
    auto& task = step->tasks[name.index];
    if (auto* run = run_book::find(task, row.run.run); run != nullptr && run->worker == worker.entry.worker) {
        run->listed_in = worker.hold_number;
        run->checkpoint = row.checkpoint;
        if (run->phase == run_phase::doubtful) {
            run->phase = run_phase::running;
            run->settled_at = worker.hold_sent;
        }
        return;
    }
    // Also where earlier steps seem not to be done: a former leader may have known of ends that are not
    // recorded.
    const bool open =
        !task.done && !step->job->cancelled && task.runs.empty() && row.run.run > task.ended_run;
    if (!open) {
        worker.foreign_runs = true;
        this->runs.stop_foreign(worker, row.run);
        return;
    }
    telemetry::log_state("run adopted", {{"task", name.text()},
                                         {"run", std::to_string(row.run.run)},
                                         {"worker", worker.entry.worker.value()}});
    std::erase(step->waiting, name.index);
    task.queued = false;
    this->runs.adopt(*step, name.index, worker, row, now).listed_in = worker.hold_number;
}

void hold_keeper::take_missing(worker_state& worker, core::steady_time now) {
    std::vector<workflow::run_name> missing;
    for (const auto& name : worker.runs) {
        auto* step = this->state.find_step(name.task.step);
        const auto* run = step == nullptr ? nullptr : run_book::find(step->tasks[name.task.index], name.run);
        const bool told = run != nullptr && run->settled_at && *run->settled_at < worker.hold_sent;
        if (told && run->listed_in != worker.hold_number) {
            missing.push_back(name);
        }
    }
    for (const auto& name : missing) {
        this->flow.run_lost(*this->state.find_step(name.task.step), name.task.index, name.run, now);
    }
}

void hold_keeper::give_up_runs(worker_state& worker, core::steady_time now) {
    if (!worker.runs.empty()) {
        telemetry::log_state(
            "lease lapsed",
            {{"worker", worker.entry.worker.value()},
             {"runs", std::to_string(worker.runs.size())},
             {"lease_until", std::to_string(worker.lease_until.count())},
             {"worker_clock", std::to_string(worker.clock.at(now).count())},
             {"hold_age_ms",
              std::to_string(
                  std::chrono::duration_cast<core::milliseconds>(now - worker.hold_sent).count())}});
    }
    const auto there = worker.runs;
    for (const auto& name : there) {
        if (auto* step = this->state.find_step(name.task.step)) {
            this->flow.run_lost(*step, name.task.index, name.run, now);
        }
    }
    this->forget_records_of(worker.entry.worker);
    worker.given_up = true;
}

void hold_keeper::forget_records_of(const core::worker_id& worker) {
    for (auto& [key, job] : this->state.jobs) {
        for (auto& [number, occurrence] : job->occurrences) {
            for (auto& step : occurrence.steps) {
                for (auto& task : step.tasks) {
                    if (task.recorded_worker == worker) {
                        task.recorded_worker = {};
                        step.changed = true;
                        this->state.place_wanted = true;
                    }
                }
            }
        }
    }
}

bool hold_keeper::lapsed(const worker_state& worker, core::steady_time now) const {
    return this->lease_over(worker, now - this->state.options.stop_time - lapse_margin);
}

bool hold_keeper::lease_over(const worker_state& worker, core::steady_time now) const {
    // A former leader may have extended the lease further than this host knows.
    if (this->state.has_predecessor() && now <= this->state.inheritance_ends()) {
        return false;
    }
    if (now <= worker.lease_floor) {
        return false;
    }
    return !worker.clock.known() || now > worker.clock.surely_after(worker.lease_until);
}

} // namespace rattanmount::dispatch
