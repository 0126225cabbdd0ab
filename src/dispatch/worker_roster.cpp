#include "dispatch/worker_roster.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two records that only remove workers.
constexpr core::milliseconds removal_interval{5000};

} // namespace

void worker_roster::begin(const std::set<core::worker_id>& roster) {
    this->inherited_workers = roster;
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
    const auto& workers = this->state.workers;
    const bool added = std::any_of(workers.begin(), workers.end(), [](const auto& place) {
        return place.second.listed && !place.second.in_roster;
    });
    const bool removed = this->recorded_workers.size() > workers.size();
    if (!added && !(removed && now >= this->record_taken_at + removal_interval)) {
        return std::nullopt;
    }
    workflow::roster_record record;
    for (const auto& [id, worker] : workers) {
        record.workers.insert(id);
    }
    this->record_in_flight = true;
    this->record_taken_at = now;
    return record;
}

void worker_roster::recorded(const workflow::roster_record& record) {
    this->record_in_flight = false;
    this->recorded_workers = record.workers;
    for (auto& [id, worker] : this->state.workers) {
        worker.in_roster = worker.in_roster || record.workers.contains(id);
    }
}

bool worker_roster::list_complete(core::steady_time now) const {
    if (now >= this->state.list_complete_at) {
        return true;
    }
    return !this->inherited_workers.empty() &&
           std::all_of(this->inherited_workers.begin(), this->inherited_workers.end(),
                       [this](const core::worker_id& id) {
                           const auto place = this->state.workers.find(id);
                           return place != this->state.workers.end() && place->second.listed;
                       });
}

} // namespace rattanmount::dispatch
