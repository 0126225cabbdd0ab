#include "dispatch/worker_roster.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two records that only remove workers.
constexpr core::milliseconds removal_interval{500};
/// Shortest time between two records that only add unreached workers.
constexpr core::milliseconds unreached_interval{100};
/// A worker that has not answered a hold for so long is recorded as unreached.
constexpr core::milliseconds unreached_after{200};

/// @return whether it may get or have runs that are not in the log. A worker that does not answer gets none,
/// and one that drains gets no more.
bool may_have_unknown_runs(const worker_state& worker) {
    return (worker.proven.knows_token || !worker.runs.empty()) && !worker.drained_runs_recorded &&
           !worker.has_left;
}

} // namespace

void worker_roster::begin(const std::set<core::worker_id>& roster,
                          const std::map<core::worker_id, worker_incarnation_id>& incarnations,
                          core::steady_time now) {
    this->inherited_roster = !roster.empty();
    this->unsettled_workers = roster;
    this->recorded_workers = roster;
    this->recorded_unreached.clear();
    this->recorded_restarted.clear();
    this->named_incarnations = incarnations;
    this->record_in_flight = false;
    for (auto& [id, worker] : this->state.workers) {
        worker.in_roster = roster.contains(id);
        worker.recorded_unreached = false;
        this->compare_incarnation(worker, now);
    }
}

void worker_roster::add(worker_state& worker, core::steady_time now) {
    worker.in_roster = this->state.leading && this->recorded_workers.contains(worker.entry.worker);
    worker.recorded_unreached = this->state.leading && this->recorded_unreached.contains(worker.entry.worker);
    if (this->state.leading) {
        this->compare_incarnation(worker, now);
    }
}

void worker_roster::compare_incarnation(worker_state& worker, core::steady_time now) {
    const auto named = this->named_incarnations.find(worker.entry.worker);
    if (named != this->named_incarnations.end() && named->second != worker.entry.incarnation) {
        this->state.restart_found(worker, now);
    }
}

std::optional<workflow::roster_record> worker_roster::take_record(core::steady_time now) {
    if (!this->state.leading) {
        return std::nullopt;
    }
    // Done even while a record is in flight, so that a worker that has answered counts as reached from then
    // on.
    this->settle_inherited_workers(now);
    if (this->record_in_flight || !this->state.worker_list_read) {
        return std::nullopt;
    }
    auto& workers = this->state.workers;
    const bool added = std::any_of(workers.begin(), workers.end(), [](const auto& place) {
        const auto& worker = place.second;
        return worker.listed && (!worker.in_roster || worker.leaves_roster) && may_have_unknown_runs(worker);
    });
    const bool removed = this->recorded_workers.size() > this->update_membership();
    if (!added && !this->unreached_changed(now) && !this->restart_to_record() &&
        !((removed || this->foreign_lease_ended(now)) && now >= this->record_taken_at + removal_interval)) {
        return std::nullopt;
    }
    auto record = this->make_record(now);
    // Until the record is stored, the log surely has only the workers that are in both.
    std::erase_if(this->recorded_workers,
                  [&record](const core::worker_id& id) { return !record.workers.contains(id); });
    // Until the record is stored, the log may have this record or the one before, so workers that either
    // names count.
    this->recorded_unreached.insert(record.unreached.begin(), record.unreached.end());
    this->apply_unreached();
    for (const auto& [id, incarnation] : record.incarnations) {
        this->named_incarnations.insert_or_assign(id, incarnation);
    }
    this->recorded_restarted = record.restarted;
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
        worker.leaves_roster = !may_have_unknown_runs(worker);
        count += worker.leaves_roster ? 0 : 1;
    }
    return count;
}

workflow::roster_record worker_roster::make_record(core::steady_time now) const {
    // The next leader has to wait for the unsettled workers too.
    workflow::roster_record record{.workers = this->unsettled_workers,
                                   .unreached = this->find_unreached(now)};
    record.epoch = record.unreached.empty() ? core::epoch_id{} : this->state.epoch;
    for (const auto& [id, worker] : this->state.workers) {
        if (may_have_unknown_runs(worker)) {
            record.workers.insert(id);
        }
    }
    for (const auto& id : record.workers) {
        const auto incarnation = this->find_incarnation(id);
        if (!incarnation) {
            continue;
        }
        record.incarnations.emplace(id, *incarnation);
        if (this->may_hold_foreign_lease(id, now)) {
            record.restarted.insert(id);
        }
    }
    return record;
}

std::optional<worker_incarnation_id> worker_roster::find_incarnation(const core::worker_id& id) const {
    const auto place = this->state.workers.find(id);
    if (place != this->state.workers.end() && place->second.proven.knows_token) {
        return place->second.entry.incarnation;
    }
    const auto named = this->named_incarnations.find(id);
    return named == this->named_incarnations.end() ? std::nullopt : std::optional{named->second};
}

bool worker_roster::may_hold_foreign_lease(const core::worker_id& id, core::steady_time now) const {
    const auto place = this->state.workers.find(id);
    return now <= this->state.authority.recorded_foreign_lease_expires_at(id) ||
           (place != this->state.workers.end() && now <= place->second.foreign_lease_until);
}

bool worker_roster::restart_to_record() const {
    return std::any_of(this->state.workers.begin(), this->state.workers.end(), [this](const auto& place) {
        const auto& worker = place.second;
        // Before the new incarnation has answered, the record says only that there is one.
        const bool news = worker.proven.knows_token || !this->recorded_restarted.contains(place.first);
        return worker.listed && worker.restart_unrecorded && news && may_have_unknown_runs(worker);
    });
}

bool worker_roster::foreign_lease_ended(core::steady_time now) const {
    return std::any_of(
        this->recorded_restarted.begin(), this->recorded_restarted.end(),
        [this, now](const core::worker_id& id) { return !this->may_hold_foreign_lease(id, now); });
}

std::set<core::worker_id> worker_roster::find_unreached(core::steady_time now) const {
    const auto& authority = this->state.authority;
    std::set<core::worker_id> found;
    for (const auto& id : this->unsettled_workers) {
        const auto place = this->state.workers.find(id);
        const bool known = place != this->state.workers.end();
        if (known && place->second.answered_holds > 0) {
            continue;
        }
        const bool silent = !known ||
                            (place->second.hold_sent_at > core::steady_time{} &&
                             now >= place->second.hold_sent_at + unreached_after) ||
                            place->second.unanswered_holds > 0;
        if (authority.was_unreached(id) || this->recorded_unreached.contains(id) ||
            (silent && authority.predecessor_is_fenced())) {
            found.insert(id);
        }
    }
    return found;
}

bool worker_roster::unreached_changed(core::steady_time now) const {
    const auto found = this->find_unreached(now);
    const bool answered = std::any_of(
        this->recorded_unreached.begin(), this->recorded_unreached.end(), [this](const core::worker_id& id) {
            const auto place = this->state.workers.find(id);
            return place != this->state.workers.end() && place->second.answered_holds > 0;
        });
    return answered ||
           (found != this->recorded_unreached && now >= this->record_taken_at + unreached_interval);
}

void worker_roster::apply_unreached() {
    for (auto& [id, worker] : this->state.workers) {
        worker.recorded_unreached = this->recorded_unreached.contains(id);
    }
}

void worker_roster::recorded(const workflow::roster_record& record) {
    this->record_in_flight = false;
    this->recorded_workers = record.workers;
    this->recorded_unreached = record.unreached;
    this->apply_unreached();
    for (auto& [id, worker] : this->state.workers) {
        worker.in_roster = record.workers.contains(id);
        const auto named = record.incarnations.find(id);
        const bool is_named = named != record.incarnations.end() &&
                              named->second == worker.entry.incarnation && worker.proven.knows_token;
        worker.restart_unrecorded = worker.restart_unrecorded && !is_named;
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
