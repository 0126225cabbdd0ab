#include "scheduling/waiting_queue.h"

#include <cmath>
#include <utility>

namespace rattanmount::scheduling {

tracked_job& waiting_queue::add(const core::job_spec& spec, core::steady_time since) {
    auto& job = this->jobs[spec.id];
    if (job != nullptr) {
        return *job;
    }
    job = std::make_unique<tracked_job>();
    job->spec = spec;
    job->spec.payload.clear();
    job->waiting_since = since;
    job->serial = this->next_serial++;
    return *job;
}

void waiting_queue::remove(const core::job_id& id) {
    const auto known = this->jobs.find(id);
    if (known == this->jobs.end()) {
        return;
    }
    auto& job = *known->second;
    this->task_count -= job.waiting_tasks.size();
    this->total_demand -= job.spec.each * static_cast<std::int64_t>(job.waiting_tasks.size());
    this->remove_from_group(job);
    this->jobs.erase(known);
}

tracked_job* waiting_queue::find(const core::job_id& id) const {
    const auto known = this->jobs.find(id);
    return known == this->jobs.end() ? nullptr : known->second.get();
}

void waiting_queue::enqueue(tracked_job& job, std::uint32_t task) {
    if (job.placed_on.contains(task) || !job.waiting_tasks.insert(task).second) {
        return;
    }
    ++this->task_count;
    this->total_demand += job.spec.each;
    this->add_to_group(job);
}

void waiting_queue::mark_placed(tracked_job& job, std::uint32_t task, const core::worker_id& worker) {
    job.placed_on[task] = worker;
    job.has_started = true;
    if (job.waiting_tasks.erase(task) == 0) {
        return;
    }
    --this->task_count;
    this->total_demand -= job.spec.each;
    if (job.waiting_tasks.empty()) {
        this->remove_from_group(job);
    }
}

void waiting_queue::set_waiting_since(tracked_job& job, core::steady_time since) {
    const bool is_queued = job.group != nullptr;
    this->remove_from_group(job);
    job.waiting_since = since;
    if (is_queued) {
        this->add_to_group(job);
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

team_queue& waiting_queue::queue_of(const core::job_spec& spec) {
    auto& queue = this->queues_by_team[{.pool = spec.pool, .team = spec.id.team}];
    if (queue == nullptr) {
        queue = std::make_unique<team_queue>(
            team_queue{.team = this->accounts.team(spec.id.team), .pool = this->accounts.pool(spec.pool)});
    }
    return *queue;
}

void waiting_queue::add_to_group(tracked_job& job) {
    if (job.group != nullptr) {
        return;
    }
    auto& group = this->groups_by_key[waiting_queue::key_of(job.spec)];
    if (group == nullptr) {
        auto& queue = this->queue_of(job.spec);
        group = std::make_unique<job_group>(queue, queue.team, queue.pool,
                                            this->estimates.find(job.spec.id.team, job.spec.pool),
                                            job.spec.each, job.spec.kind == core::work_kind::gang);
    }
    if (!group->jobs.empty()) {
        group->queue.groups.erase(group.get());
    } else if (group->queue.cached_bounds.has_value()) {
        group->queue.extend_bounds(*group);
    }
    group->jobs.insert(&job);
    group->queue.groups.insert(group.get());
    job.group = group.get();
}

void waiting_queue::remove_from_group(tracked_job& job) {
    if (job.group == nullptr) {
        return;
    }
    auto* group = std::exchange(job.group, nullptr);
    group->queue.groups.erase(group);
    group->jobs.erase(&job);
    if (group->jobs.empty()) {
        group->queue.cached_bounds.reset();
        this->emptied_groups.push_back(waiting_queue::key_of(job.spec));
    } else {
        group->queue.groups.insert(group);
    }
}

void waiting_queue::remove_empty() {
    for (const auto& key : this->emptied_groups) {
        const auto known = this->groups_by_key.find(key);
        if (known != this->groups_by_key.end() && known->second->jobs.empty()) {
            this->groups_by_key.erase(known);
        }
    }
    this->emptied_groups.clear();
    std::erase_if(this->queues_by_team, [](const auto& entry) { return entry.second->groups.empty(); });
}

} // namespace rattanmount::scheduling
