#include "scheduling/explainer.h"

#include "scheduling/dimension.h"
#include "scheduling/forecast.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <limits>
#include <sstream>

namespace rattanmount::scheduling {

namespace {

constexpr std::array dimensions{dimension::processors, dimension::memory, dimension::accelerators};

std::string seconds(std::chrono::steady_clock::duration time) {
    const std::chrono::duration<double> value = time;
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << value.count() << " s";
    return out.str();
}

std::string percent(double share) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << share * 100.0 << "%";
    return out.str();
}

std::string with_unit(std::int64_t value, dimension which) {
    const std::string number = std::to_string(value);
    if (which == dimension::processors) {
        return number + "m";
    }
    return which == dimension::memory ? number + "MB" : number + "acc";
}

} // namespace

std::vector<std::string> explainer::lines(const core::job_id& id) const {
    const auto* job = this->state.queue.find(id);
    if (job == nullptr) {
        return {"job " + id.text() + " is not in the queues of this shard"};
    }
    std::vector<std::string> lines;
    this->add_waiting_lines(*job, lines);
    this->add_running_lines(*job, lines);
    if (lines.empty()) {
        lines.push_back("no task of the job is waiting or running");
    }
    return lines;
}

void explainer::add_waiting_lines(const tracked_job& job, std::vector<std::string>& lines) const {
    if (job.group == nullptr) {
        return;
    }
    const auto result = this->rules.check(*job.group, job, job.group->blocked_by_reservation);
    lines.push_back(std::to_string(job.waiting_tasks.size()) + " of " + std::to_string(job.spec.tasks) +
                    " tasks waiting for " + seconds(this->now - job.waiting_since) + ": " +
                    this->blocking_rule(job, result));
    lines.push_back(this->queue_position(job));
    const auto best = this->earliest_start(job, result);
    if (!best.empty()) {
        lines.push_back(best);
    }
}

std::string explainer::blocking_rule(const tracked_job& job, const admission_result& result) const {
    const auto& group = *job.group;
    const auto requested = result.size * static_cast<std::int64_t>(admission::tasks_together(group, job));
    switch (result.blocked_by) {
    case block_reason::none:
        return "fits now; waiting for its turn in the queue";
    case block_reason::unknown_pool:
        return "no policy is known for pool " + group.pool.name.value();
    case block_reason::no_worker:
        return "no worker of the shard accepts tasks now";
    case block_reason::team_quota:
        return this->quota_text(group, requested);
    case block_reason::pool_share:
        return this->pool_share_text(group, requested);
    case block_reason::no_capacity:
        return this->capacity_text(group, job, result.size);
    case block_reason::only_failed_workers:
        return "only workers on which it failed have " + result.size.text() + " free";
    case block_reason::reservation:
        break;
    }
    return this->reservation_text();
}

std::string explainer::quota_text(const job_group& group, const core::resources& requested) const {
    const auto quota = group.team.quota();
    const auto sum = group.team.allocated + group.team.remote_usage + requested;
    for (const auto which : dimensions) {
        const auto limit = amount(quota, which);
        if (limit <= 0 || amount(sum, which) <= limit) {
            continue;
        }
        return "quota of team " + group.team.name.value() +
               " would be exceeded: " + std::string(to_string(which)) + " " +
               with_unit(amount(group.team.allocated, which), which) + " allocated here + " +
               with_unit(amount(group.team.remote_usage, which), which) + " on other shards + " +
               with_unit(amount(requested, which), which) + " requested > " + with_unit(limit, which);
    }
    return "quota of team " + group.team.name.value();
}

std::string explainer::pool_share_text(const job_group& group, const core::resources& requested) const {
    const auto& capacity = this->state.workers.capacity();
    return "max_share of pool " + group.pool.name.value() +
           " would be exceeded: " + percent(group.pool.allocated.dominant_share(capacity)) + " allocated + " +
           percent(requested.dominant_share(capacity)) + " requested > " +
           percent(group.pool.policy->max_share) + " of the shard";
}

std::string explainer::capacity_text(const job_group& group, const tracked_job& job,
                                     const core::resources& size) const {
    const auto tasks = admission::tasks_together(group, job);
    const auto& free_by_row = this->state.workers.free_by_row(group.pool.is_urgent());
    std::int64_t fitting = 0;
    double smallest_shortfall = std::numeric_limits<double>::infinity();
    row_index nearest = no_row;
    for (row_index row = 0; row < free_by_row.size(); ++row) {
        if (!this->state.workers.rows()[row].is_schedulable()) {
            continue;
        }
        fitting += count_fitting(size, free_by_row[row], static_cast<std::int64_t>(tasks));
        const auto shortfall = elementwise_max(size - free_by_row[row], {})
                                   .dominant_share(this->state.workers.largest_capacity());
        if (shortfall < smallest_shortfall) {
            smallest_shortfall = shortfall;
            nearest = row;
        }
    }
    if (nearest == no_row) {
        return "no worker of the shard is available for tasks now";
    }
    if (tasks > 1) {
        return "a gang of " + std::to_string(tasks) + " tasks of " + size.text() +
               " must start all together, but only " + std::to_string(fitting) + " fit now";
    }
    const auto& worker = this->state.workers.rows()[nearest];
    const auto missing = size.first_excess(free_by_row[nearest]);
    std::string text = "fits on no worker now: " + size.text() + " requested; closest is " +
                       worker.info.name.value() + " with " + free_by_row[nearest].text() +
                       " free, insufficient " + missing;
    if (!group.pool.is_urgent() && size.fits_in(worker.free(true))) {
        text += " outside the reserve for urgent pools";
    }
    if (this->state.health.quarantined_count() > 0) {
        text += "; " + std::to_string(this->state.health.quarantined_count()) +
                " workers are in quarantine because of failures";
    }
    return text;
}

std::string explainer::reservation_text() const {
    const auto& current = *this->state.current_reservation;
    std::string text = "would delay job " + current.job.text() + ", which has a reservation for " +
                       std::to_string(current.tasks) + " x " + current.size.text();
    if (current.start_at.has_value()) {
        text += " starting in " + seconds(*current.start_at - this->now);
    }
    return text;
}

std::string explainer::queue_position(const tracked_job& job) const {
    std::size_t jobs = 0;
    std::size_t before = 0;
    std::size_t others = 0;
    const older_job_first is_older;
    for (const auto& [key, group] : this->state.queue.groups()) {
        if (&group->pool != &job.group->pool) {
            continue;
        }
        if (&group->team != &job.group->team) {
            others += group->jobs.size();
            continue;
        }
        jobs += group->jobs.size();
        before +=
            static_cast<std::size_t>(std::count_if(group->jobs.begin(), group->jobs.end(),
                                                   [&](const auto* other) { return is_older(other, &job); }));
    }
    const auto* policy = job.group->pool.policy;
    return "position " + std::to_string(before + 1) + " of " + std::to_string(jobs) + " jobs of team " +
           job.group->team.name.value() + " in pool " + job.group->pool.name.value() + " (priority " +
           std::to_string(policy == nullptr ? 0 : policy->priority) + "); " + std::to_string(others) +
           " jobs of other teams are waiting in the pool; the team uses " +
           percent(job.group->team.allocated.dominant_share(this->state.workers.capacity())) +
           " of the shard";
}

std::string explainer::earliest_start(const tracked_job& job, const admission_result& result) const {
    if (result.blocked_by == block_reason::none) {
        return "earliest start: now";
    }
    if (result.blocked_by == block_reason::reservation &&
        this->state.current_reservation->start_at.has_value()) {
        return "earliest start: in " + seconds(*this->state.current_reservation->start_at - this->now);
    }
    if (result.blocked_by != block_reason::no_capacity) {
        return "";
    }
    const auto tasks = admission::tasks_together(*job.group, job);
    const auto plan =
        forecast(this->state, this->now).earliest_fit(result.size, tasks, job.group->pool.is_urgent());
    if (!plan.start_at.has_value()) {
        return "earliest start: unknown, because it waits for services or stragglers, which have no "
               "estimated end";
    }
    const auto& worker = this->state.workers.rows()[plan.rows.front()].info.name;
    return "earliest start: in " + seconds(*plan.start_at - this->now) + " on worker " + worker.value() +
           " (estimated)";
}

void explainer::add_running_lines(const tracked_job& job, std::vector<std::string>& lines) const {
    for (const auto& [task, worker] : job.placed_on) {
        const auto* alloc = this->state.allocations.of_task(job.spec.id, task);
        if (alloc != nullptr) {
            lines.push_back(this->placement_text(*alloc));
        }
    }
}

std::string explainer::placement_text(const allocation& alloc) const {
    const bool bound = alloc.attempt.attempt > 0;
    std::string text = "task " + std::to_string(alloc.attempt.task) + (bound ? " running" : " starting") +
                       " on worker " + alloc.worker.value() + " for " + seconds(this->now - alloc.since) +
                       ", effective size " + alloc.size.text();
    if (alloc.size != alloc.declared) {
        text += " (declared " + alloc.declared.text() + ")";
    }
    const auto& why = alloc.reason;
    if (why.adopted) {
        text += "; found running there";
    } else if (why.probe) {
        text += "; probe of a worker in quarantine";
    } else {
        text += "; best of " + std::to_string(why.candidates) + " workers with enough free capacity" +
                (why.spread ? ", in the rack with the fewest of its tasks" : "") + ": leaves the least " +
                std::string(to_string(why.scarcest)) + " free";
        text += alloc.kind == core::work_kind::gang ? "" : ", " + with_unit(why.remaining, why.scarcest);
    }
    const auto end = alloc.estimated_end(this->now, this->state.options.straggler_factor);
    if (end.has_value()) {
        text += "; estimated to end in " + seconds(*end - this->now);
    } else if (alloc.is_straggler(this->now, this->state.options.straggler_factor)) {
        text += "; a straggler, estimated run time " + seconds(alloc.estimated_run_time);
    }
    return text;
}

} // namespace rattanmount::scheduling
