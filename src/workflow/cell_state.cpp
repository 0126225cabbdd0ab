#include "workflow/cell_state.h"

#include "tenancy/caller.h"

#include <utility>

namespace rattanmount::workflow {

job_phase job_entry::phase() const {
    if (is_over(this->progress.phase)) {
        return this->progress.phase;
    }
    return this->cancelled ? job_phase::cancelled : this->progress.phase;
}

std::vector<part_id> job_entry::recorded_parts() const {
    std::vector<part_id> ids;
    ids.reserve(this->parts.size());
    for (const auto& [id, part] : this->parts) {
        ids.push_back(id);
    }
    return ids;
}

state_change cell_state::apply(const cell_record& record, core::log_offset offset, core::steady_time now) {
    return std::visit([&](const auto& one) { return this->apply_one(one, offset, now); }, record);
}

const job_entry* cell_state::find(const job_key& key) const {
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : found->second.get();
}

std::uint32_t cell_state::pending(const queue_id& queue) const {
    std::uint32_t count = 0;
    for (const auto& [key, job] : this->entries) {
        const auto& request = job->accepted.request;
        count += request.queue == queue && !request.recurs && job->phase() == job_phase::queued ? 1 : 0;
    }
    return count;
}

std::vector<job_key> cell_state::expired(core::steady_time now, core::milliseconds kept) const {
    std::vector<job_key> keys;
    for (const auto& [key, job] : this->entries) {
        if (is_over(job->phase()) && job->ended_at + kept <= now) {
            keys.push_back(key);
        }
    }
    for (const auto& [key, early] : this->early_cancellations) {
        if (early.read_at + kept <= now) {
            keys.push_back(key);
        }
    }
    return keys;
}

state_change cell_state::apply_one(const job_accepted& record, core::log_offset offset,
                                   core::steady_time now) {
    const auto& key = record.request.key;
    const auto [place, added] = this->entries.try_emplace(key);
    if (!added) {
        return {};
    }
    place->second = std::make_unique<job_entry>(job_entry{.accepted = record,
                                                          .offset = offset,
                                                          .arrival = ++this->arrivals,
                                                          .learned_at = now,
                                                          .epoch = this->lead.epoch,
                                                          .progress = {.key = key}});
    if (const auto early = this->early_cancellations.extract(key)) {
        for (const auto& team : early.mapped().teams) {
            this->apply_one(job_cancelled{.key = key, .team = team}, offset, now);
        }
    }
    if (const auto early = this->early_progress.extract(key)) {
        if (early.mapped().job) {
            this->apply_one(*early.mapped().job, offset, now);
        }
        for (const auto& [id, part] : early.mapped().parts) {
            this->apply_one(part, offset, now);
        }
    }
    return {.what = state_change::kind::accepted, .job = key};
}

state_change cell_state::apply_one(const job_cancelled& record, core::log_offset /*offset*/,
                                   core::steady_time now) {
    const auto found = this->entries.find(record.key);
    if (found == this->entries.end()) {
        const auto [early, added] =
            this->early_cancellations.try_emplace(record.key, early_cancellation{.read_at = now});
        early->second.teams.insert(record.team);
        return {};
    }
    auto& job = *found->second;
    const tenancy::caller caller{.team = record.team};
    if (!caller.may_access(job.accepted.team) || job.cancelled || is_over(job.progress.phase)) {
        return {};
    }
    job.cancelled = true;
    job.ended_at = now;
    return {.what = state_change::kind::cancelled, .job = record.key};
}

state_change cell_state::apply_one(const job_progress& record, core::log_offset offset,
                                   core::steady_time now) {
    const auto found = this->entries.find(record.key);
    if (found == this->entries.end() && !is_over(record.phase)) {
        this->early_progress[record.key].job = record;
        return {};
    }
    if (found == this->entries.end()) {
        // The job was closed before this host read its acceptance: its outcome is all that is kept of it.
        const auto [place, added] = this->entries.emplace(
            record.key, std::make_unique<job_entry>(
                            job_entry{.accepted = {.request = {.key = record.key}, .team = record.team},
                                      .offset = offset,
                                      .epoch = this->lead.epoch,
                                      .progress = record,
                                      .ended_at = now}));
        if (const auto early = this->early_progress.extract(record.key)) {
            for (const auto& [id, part] : early.mapped().parts) {
                place->second->parts[id] = {};
            }
        }
        return {.what = state_change::kind::progress, .job = record.key};
    }
    auto& job = *found->second;
    const bool ends = is_over(record.phase) && !is_over(job.phase());
    job.progress = record;
    if (!record.in_parts) {
        for (auto& [id, part] : job.parts) {
            part.steps.clear(); // The job has ended, or the record holds the whole progress.
        }
    }
    if (ends) {
        job.ended_at = now;
    }
    return {.what = state_change::kind::progress, .job = record.key};
}

state_change cell_state::apply_one(const part_progress& record, core::log_offset /*offset*/,
                                   core::steady_time /*now*/) {
    const auto found = this->entries.find(record.key);
    if (found == this->entries.end()) {
        if (const auto early = this->early_progress.find(record.key); early != this->early_progress.end()) {
            early->second.parts.erase(record.part);
        }
        if (!record.steps.empty()) {
            this->early_progress[record.key].parts.emplace(record.part, record);
        }
        return {};
    }
    auto& job = *found->second;
    if (record.steps.empty()) {
        job.parts.erase(record.part);
    } else {
        job.parts.insert_or_assign(record.part, recorded_part{.steps = record.steps, .epoch = record.epoch});
    }
    return {.what = state_change::kind::progress, .job = record.key};
}

state_change cell_state::apply_one(const job_closed& record, core::log_offset /*offset*/,
                                   core::steady_time /*now*/) {
    const auto found = this->entries.find(record.key);
    if (found != this->entries.end() && is_over(found->second->phase())) {
        auto& request = found->second->accepted.request;
        request = {.key = request.key, .queue = request.queue};
        found->second->progress.steps = {};
    }
    return {};
}

state_change cell_state::apply_one(const job_forgotten& record, core::log_offset /*offset*/,
                                   core::steady_time /*now*/) {
    this->entries.erase(record.key);
    this->early_cancellations.erase(record.key);
    this->early_progress.erase(record.key);
    return {.what = state_change::kind::forgotten, .job = record.key};
}

state_change cell_state::apply_one(const leader_record& record, core::log_offset /*offset*/,
                                   core::steady_time /*now*/) {
    if (record.epoch < this->lead.epoch) {
        return {};
    }
    this->lead = record;
    return {.what = state_change::kind::leader};
}

state_change cell_state::apply_one(const member_record& record, core::log_offset /*offset*/,
                                   core::steady_time /*now*/) {
    if (record.left) {
        this->hosts.erase(record.host);
    } else {
        this->hosts.insert_or_assign(record.host, record);
    }
    return {.what = state_change::kind::member};
}

state_change cell_state::apply_one(const roster_record& record, core::log_offset /*offset*/,
                                   core::steady_time now) {
    this->roster_workers = record.workers;
    const bool continues = record.epoch == this->roster_epoch || record.epoch == this->roster_epoch.next();
    const auto before = std::exchange(this->unreached_since, {});
    for (const auto& worker : record.unreached) {
        const auto known = before.find(worker);
        this->unreached_since.emplace(worker, continues && known != before.end() ? known->second : now);
    }
    this->roster_epoch = record.epoch;
    const auto former = std::exchange(this->incarnations, record.incarnations);
    const auto restarted = std::exchange(this->restarted_since, {});
    for (const auto& worker : record.restarted) {
        const auto known = restarted.find(worker);
        const bool same = known != restarted.end() && former.at(worker) == record.incarnations.at(worker);
        this->restarted_since.emplace(worker, same ? known->second : now);
    }
    return {};
}

} // namespace rattanmount::workflow
