#include "scheduling/waiting_queue.h"

#include <cmath>
#include <utility>

namespace rattanmount::scheduling {

waiting_job& waiting_queue::add(const core::job_spec& spec, core::steady_time since) {
    auto& job = this->jobs[spec.id];
    if (job != nullptr) {
        return *job;
    }
    job = std::make_unique<waiting_job>();
    job->spec = spec;
    job->spec.payload.clear();
    job->since = since;
    job->serial = this->next_serial++;
    return *job;
}

void waiting_queue::remove(const core::job_id& id) {
    const auto known = this->jobs.find(id);
    if (known == this->jobs.end()) {
        return;
    }
    auto& job = *known->second;
    this->task_count -= job.waiting.size();
    this->waiting_demand -= job.spec.each * static_cast<std::int64_t>(job.waiting.size());
    this->leave(job);
    this->jobs.erase(known);
}

waiting_job* waiting_queue::find(const core::job_id& id) const {
    const auto known = this->jobs.find(id);
    return known == this->jobs.end() ? nullptr : known->second.get();
}

void waiting_queue::wait(waiting_job& job, std::uint32_t task) {
    if (job.placed_on.contains(task) || !job.waiting.insert(task).second) {
        return;
    }
    ++this->task_count;
    this->waiting_demand += job.spec.each;
    this->enter(job);
}

void waiting_queue::take(waiting_job& job, std::uint32_t task, const core::worker_id& worker) {
    job.placed_on[task] = worker;
    job.started = true;
    if (job.waiting.erase(task) == 0) {
        return;
    }
    --this->task_count;
    this->waiting_demand -= job.spec.each;
    if (job.waiting.empty()) {
        this->leave(job);
    }
}

void waiting_queue::set_since(waiting_job& job, core::steady_time since) {
    const bool waits = job.group != nullptr;
    this->leave(job);
    job.since = since;
    if (waits) {
        this->enter(job);
    }
}

group_key waiting_queue::key_of(const core::job_spec& spec) {
    return {.pool = spec.pool,
            .team = spec.id.team,
            .gang = spec.kind == core::work_kind::gang ? spec.id.key : core::request_key{},
            .millicores = spec.each.millicores,
            .memory_mb = spec.each.memory_mb,
            .accelerators = spec.each.accelerators,
            .run_time_class = std::ilogb(static_cast<double>(1 + spec.expected_run_time.count()))};
}

team_lane& waiting_queue::lane_of(const core::job_spec& spec) {
    auto& lane = this->by_team[{.pool = spec.pool, .team = spec.id.team}];
    if (lane == nullptr) {
        lane = std::make_unique<team_lane>(
            team_lane{.team = this->accounts.team(spec.id.team), .pool = this->accounts.pool(spec.pool)});
    }
    return *lane;
}

void waiting_queue::enter(waiting_job& job) {
    if (job.group != nullptr) {
        return;
    }
    auto& group = this->by_key[waiting_queue::key_of(job.spec)];
    if (group == nullptr) {
        auto& lane = this->lane_of(job.spec);
        group = std::make_unique<job_group>(lane, lane.team, lane.pool,
                                            this->estimates.find(job.spec.id.team, job.spec.pool),
                                            job.spec.each, job.spec.kind == core::work_kind::gang);
    }
    if (!group->jobs.empty()) {
        group->lane.groups.erase(group.get());
    } else if (group->lane.known_bounds.has_value()) {
        group->lane.widen(*group);
    }
    group->jobs.insert(&job);
    group->lane.groups.insert(group.get());
    job.group = group.get();
}

void waiting_queue::leave(waiting_job& job) {
    if (job.group == nullptr) {
        return;
    }
    auto* group = std::exchange(job.group, nullptr);
    group->lane.groups.erase(group);
    group->jobs.erase(&job);
    if (group->jobs.empty()) {
        group->lane.known_bounds.reset();
        this->emptied.push_back(waiting_queue::key_of(job.spec));
    } else {
        group->lane.groups.insert(group);
    }
}

void waiting_queue::sweep() {
    for (const auto& key : this->emptied) {
        const auto known = this->by_key.find(key);
        if (known != this->by_key.end() && known->second->jobs.empty()) {
            this->by_key.erase(known);
        }
    }
    this->emptied.clear();
    std::erase_if(this->by_team, [](const auto& entry) { return entry.second->groups.empty(); });
}

} // namespace rattanmount::scheduling
