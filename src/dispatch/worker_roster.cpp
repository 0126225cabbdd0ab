#include "dispatch/worker_roster.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two records that only remove workers.
constexpr core::milliseconds removal_interval{500};

/// @return whether it may get or have runs that are not in the log. A worker that does not answer gets none,
/// and one that drains gets no more.
bool may_have_unknown_runs(const worker_state& worker) {
    return (worker.proven.knows_token || !worker.runs.empty()) && !worker.drained_runs_recorded;
}

} // namespace

void worker_roster::begin(const std::set<core::worker_id>& roster) {
    this->inherited_roster = !roster.empty();
    this->unsettled_workers = roster;
    this->recorded_workers = roster;
    this->record_in_flight = false;
    for (auto& [id, worker] : this->state.workers) {
        worker.in_roster = roster.contains(id);
    }
}

void worker_roster::add(worker_state& worker) const {
    worker.in_roster = this->state.leading && this->recorded_workers.contains(worker.entry.worker);
}

std::optional<workflow::roster_record> worker_roster::take_record(core::steady_time now) {
    if (!this->state.leading || this->record_in_flight || !this->state.worker_list_read) {
        return std::nullopt;
    }
    this->settle_inherited_workers(now);
    auto& workers = this->state.workers;
    const bool added = std::any_of(workers.begin(), workers.end(), [](const auto& place) {
        const auto& worker = place.second;
        return worker.listed && !worker.in_roster && may_have_unknown_runs(worker);
    });
    const bool removed = this->recorded_workers.size() > this->update_membership();
    if (!added && !(removed && now >= this->record_taken_at + removal_interval)) {
        return std::nullopt;
    }
    auto record = this->make_record();
    // Until the record is stored, the log surely has only the workers that are in both.
    std::erase_if(this->recorded_workers,
                  [&record](const core::worker_id& id) { return !record.workers.contains(id); });
    this->record_in_flight = true;
    this->record_taken_at = now;
    return record;
}

std::size_t worker_roster::update_membership() {
    auto count = this->unsettled_workers.size();
    for (auto& [id, worker] : this->state.workers) {
        if (this->unsettled_workers.contains(id)) {
            continue;
        }
        if (may_have_unknown_runs(worker)) {
            count++;
        } else {
            worker.in_roster = false; // It gets no run before it is in the roster again.
        }
    }
    return count;
}

workflow::roster_record worker_roster::make_record() const {
    // The next leader has to wait for the unsettled workers too.
    workflow::roster_record record{.workers = this->unsettled_workers};
    for (const auto& [id, worker] : this->state.workers) {
        if (may_have_unknown_runs(worker)) {
            record.workers.insert(id);
        }
    }
    return record;
}

void worker_roster::recorded(const workflow::roster_record& record) {
    this->record_in_flight = false;
    this->recorded_workers = record.workers;
    for (auto& [id, worker] : this->state.workers) {
        worker.in_roster = worker.in_roster || record.workers.contains(id);
    }
}

bool worker_roster::inherited_workers_settled(core::steady_time now) {
    this->settle_inherited_workers(now);
    if (this->inherited_roster) {
        return this->unsettled_workers.empty();
    }
    const auto& workers = this->state.workers;
    const bool list_complete =
        now >= this->state.list_complete_at || now >= this->state.inherited_leases_expire_at();
    return list_complete && std::all_of(workers.begin(), workers.end(), [&](const auto& place) {
               const auto& worker = place.second;
               const bool counts = worker.listed || worker.may_hide_runs();
               return !counts || this->state.is_settled(place.first, now);
           });
}

void worker_roster::settle_inherited_workers(core::steady_time now) {
    std::erase_if(this->unsettled_workers,
                  [this, now](const core::worker_id& id) { return this->state.is_settled(id, now); });
}

} // namespace rattanmount::dispatch
