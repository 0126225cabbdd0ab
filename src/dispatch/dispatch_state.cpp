#include "dispatch/dispatch_state.h"

#include "dispatch/progress_records.h"

namespace rattanmount::dispatch {

bool dispatch_state::inherited_runs_ended(const core::worker_id& worker, core::steady_time now) const {
    const auto place = this->workers.find(worker);
    if (place != this->workers.end() && place->second.answered_holds > 0) {
        return place->second.runs_given_up;
    }
    if (place != this->workers.end() && place->second.restart_unrecorded) {
        return now >= this->authority.foreign_leases_expire_at();
    }
    return now >= this->authority.inherited_leases_expire_at(worker);
}

bool dispatch_state::is_settled(const core::worker_id& worker, core::steady_time now) const {
    const auto place = this->workers.find(worker);
    const bool listed_all = place != this->workers.end() && place->second.proven.inventory_complete;
    return listed_all || this->inherited_runs_ended(worker, now);
}

live_step* dispatch_state::find_step(const workflow::step_name& name) {
    const auto job = this->jobs.find(name.job);
    if (job == this->jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second->occurrences.find(name.occurrence);
    if (occurrence == job->second->occurrences.end() || name.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    return &occurrence->second.steps[name.step];
}

void dispatch_state::add_round_trip(const worker_state& worker, core::steady_time sent_at,
                                    core::steady_time now) {
    this->round_trips[worker.entry.data_centre].add(now - sent_at, now);
    this->orders.add_round_trip(now - sent_at);
}

void dispatch_state::order_finished(const order_target& target, order_outcome outcome,
                                    core::steady_time sent_at, core::steady_time now) {
    if (outcome == order_outcome::unknown || outcome == order_outcome::not_sent) {
        this->orders.failed(now);
        return;
    }
    core::steady_time::duration shortest{0};
    if (const auto worker = this->workers.find(target.worker); worker != this->workers.end()) {
        auto& there = this->round_trips[worker->second.entry.data_centre];
        there.add(now - sent_at, now);
        shortest = there.value();
    }
    this->orders.answered(now - sent_at, shortest, now);
}

bool dispatch_state::certainly_lacks(const workflow::step_name& name, core::steady_time since) const {
    const auto job = this->jobs.find(name.job);
    const bool is_to_come = job != this->jobs.end() && !job->second->cancelled &&
                            name.occurrence >= job->second->next_occurrence &&
                            name.occurrence < job->second->entry->accepted.request.occurrences();
    return !is_to_come && this->log_read_at > since;
}

void dispatch_state::mark_dirty(live_job& job) {
    job.dirty = true;
    this->dirty_jobs.insert(job.key());
}

void dispatch_state::mark_begun(live_job& job) {
    if (job.phase == workflow::job_phase::queued) {
        job.phase = workflow::job_phase::running;
        this->mark_dirty(job);
    }
}

void dispatch_state::mark_dirty(live_step& step, std::uint32_t task) {
    add_changed_part(step, task);
    this->mark_dirty(*step.job);
}

order_target dispatch_state::target_of(const worker_state& worker) const {
    return {.worker = worker.entry.worker,
            .incarnation = worker.entry.incarnation,
            .address = worker.entry.address,
            .fencing_token = worker.fencing_token};
}

void dispatch_state::raise_token(worker_state& worker) {
    this->raised_tokens++;
    worker.fencing_token = this->highest_token();
    worker.hold_in_flight = false; // Its answer no longer counts, so the next one is sent at once.
    worker.next_hold_at = {};
}

void dispatch_state::restart_found(worker_state& worker, core::steady_time now) {
    if (worker.proven.knows_token) {
        // Starts, leases and acknowledgements may have been sent under the present token. Before that only
        // holds without any, and stops, were.
        this->raise_token(worker);
    }
    worker.proven = {};
    worker.restart_unrecorded = true;
    worker.drained_runs_recorded = false;
    this->allow_foreign_lease(worker, now);
}

void dispatch_state::allow_foreign_lease(worker_state& worker, core::steady_time now) const {
    worker.foreign_lease_until = now + this->longest_lease();
}

} // namespace rattanmount::dispatch
