#include "dispatch/roster_keeper.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

/// Workers that are gone are taken out of the roster at most so often.
constexpr core::milliseconds removal_interval{5000};

} // namespace

void roster_keeper::begin(const std::set<core::worker_id>& roster) {
    this->inherited = roster;
    this->stored = roster;
    this->out = false;
    for (auto& [id, worker] : this->state.workers) {
        worker.rostered = roster.contains(id);
    }
}

void roster_keeper::add(worker_state& worker) const {
    worker.rostered = this->state.leading && this->stored.contains(worker.entry.worker);
}

std::optional<workflow::roster_record> roster_keeper::due(core::steady_time now) {
    if (!this->state.leading || this->out || !this->state.workers_known) {
        return std::nullopt;
    }
    const auto& workers = this->state.workers;
    const bool added = std::any_of(workers.begin(), workers.end(), [](const auto& place) {
        return place.second.listed && !place.second.rostered;
    });
    const bool removed = this->stored.size() > workers.size();
    if (!added && !(removed && now >= this->given_at + removal_interval)) {
        return std::nullopt;
    }
    workflow::roster_record record;
    for (const auto& [id, worker] : workers) {
        record.workers.insert(id);
    }
    this->out = true;
    this->given_at = now;
    return record;
}

void roster_keeper::recorded(const workflow::roster_record& record) {
    this->out = false;
    this->stored = record.workers;
    for (auto& [id, worker] : this->state.workers) {
        worker.rostered = worker.rostered || record.workers.contains(id);
    }
}

bool roster_keeper::list_complete(core::steady_time now) const {
    if (now >= this->state.list_complete_at) {
        return true;
    }
    return !this->inherited.empty() &&
           std::all_of(this->inherited.begin(), this->inherited.end(), [this](const core::worker_id& id) {
               const auto place = this->state.workers.find(id);
               return place != this->state.workers.end() && place->second.listed;
           });
}

} // namespace rattanmount::dispatch
