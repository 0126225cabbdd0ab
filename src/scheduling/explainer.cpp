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
    this->say_waiting(*job, lines);
    this->say_running(*job, lines);
    if (lines.empty()) {
        lines.push_back("no task of it waits or runs");
    }
    return lines;
}

void explainer::say_waiting(const waiting_job& job, std::vector<std::string>& lines) const {
    if (job.group == nullptr) {
        return;
    }
    const auto result = this->rules.check(*job.group, job, job.group->behind_reservation);
    lines.push_back(std::to_string(job.waiting.size()) + " of " + std::to_string(job.spec.tasks) +
                    " tasks wait since " + seconds(this->now - job.since) + ": " + this->rule(job, result));
    lines.push_back(this->queue_place(job));
    const auto best = this->at_best(job, result);
    if (!best.empty()) {
        lines.push_back(best);
    }
}

std::string explainer::rule(const waiting_job& job, const admission_result& result) const {
    const auto& group = *job.group;
    const auto wanted = result.size * static_cast<std::int64_t>(admission::tasks_together(group, job));
    switch (result.stopped_by) {
    case gate::open:
        return "fits now and waits for its turn";
    case gate::pool_unknown:
        return "no policy is known for pool " + group.pool.name.value();
    case gate::no_worker:
        return "no worker of the shard accepts tasks now";
    case gate::team_quota:
        return this->quota_rule(group, wanted);
    case gate::pool_share:
        return this->pool_rule(group, wanted);
    case gate::room:
        return this->room_rule(group, job, result.size);
    case gate::failed_there:
        return "only workers that failed it have room for " + result.size.text();
    case gate::reservation:
        break;
    }
    return this->reservation_rule();
}

std::string explainer::quota_rule(const job_group& group, const core::resources& wanted) const {
    const auto quota = group.team.quota();
    const auto sum = group.team.held + group.team.remote + wanted;
    for (const auto which : dimensions) {
        const auto limit = amount(quota, which);
        if (limit <= 0 || amount(sum, which) <= limit) {
            continue;
        }
        return "quota of team " + group.team.name.value() + ": " + std::string(to_string(which)) + " " +
               with_unit(amount(group.team.held, which), which) + " held here, " +
               with_unit(amount(group.team.remote, which), which) + " on other shards and " +
               with_unit(amount(wanted, which), which) + " wanted are more than " + with_unit(limit, which);
    }
    return "quota of team " + group.team.name.value();
}

std::string explainer::pool_rule(const job_group& group, const core::resources& wanted) const {
    const auto& capacity = this->state.workers.capacity();
    return "max_share of pool " + group.pool.name.value() + ": " +
           percent(group.pool.held.dominant_share(capacity)) + " held and " +
           percent(wanted.dominant_share(capacity)) + " wanted are more than " +
           percent(group.pool.policy->max_share) + " of the shard";
}

std::string explainer::room_rule(const job_group& group, const waiting_job& job,
                                 const core::resources& size) const {
    const auto tasks = admission::tasks_together(group, job);
    const auto& rooms = this->state.workers.rooms(group.pool.urgent());
    std::int64_t fitting = 0;
    double smallest_lack = std::numeric_limits<double>::infinity();
    row_index nearest = no_row;
    for (row_index row = 0; row < rooms.size(); ++row) {
        if (!this->state.workers.rows()[row].open()) {
            continue;
        }
        fitting += count_fitting(size, rooms[row], static_cast<std::int64_t>(tasks));
        const auto lack =
            larger(size - rooms[row], {}).dominant_share(this->state.workers.largest_capacity());
        if (lack < smallest_lack) {
            smallest_lack = lack;
            nearest = row;
        }
    }
    if (nearest == no_row) {
        return "no worker of the shard gets tasks now";
    }
    if (tasks > 1) {
        return "a gang of " + std::to_string(tasks) + " tasks of " + size.text() + " needs room for all, " +
               std::to_string(fitting) + " fit now";
    }
    const auto& worker = this->state.workers.rows()[nearest];
    const auto lacking = size.first_excess(rooms[nearest]);
    std::string text = "fits on no worker now: " + size.text() + " wanted, " + worker.info.name.value() +
                       " lacks least with " + rooms[nearest].text() + " free, too little " + lacking;
    if (!group.pool.urgent() && size.fits_in(worker.room(true))) {
        text += " beside the reserve for urgent pools";
    }
    if (this->state.health.count() > 0) {
        text +=
            "; " + std::to_string(this->state.health.count()) + " workers are set aside for their failures";
    }
    return text;
}

std::string explainer::reservation_rule() const {
    const auto& kept = *this->state.reserved;
    std::string text = "would delay job " + kept.job.text() + ", for which room of " +
                       std::to_string(kept.tasks) + " x " + kept.size.text() + " is kept";
    if (kept.at.has_value()) {
        text += " from in " + seconds(*kept.at - this->now) + " on";
    }
    return text;
}

std::string explainer::queue_place(const waiting_job& job) const {
    std::size_t jobs = 0;
    std::size_t before = 0;
    std::size_t others = 0;
    const waits_longer longer;
    for (const auto& [key, group] : this->state.queue.groups()) {
        if (&group->pool != &job.group->pool) {
            continue;
        }
        if (&group->team != &job.group->team) {
            others += group->jobs.size();
            continue;
        }
        jobs += group->jobs.size();
        before += static_cast<std::size_t>(std::count_if(
            group->jobs.begin(), group->jobs.end(), [&](const auto* other) { return longer(other, &job); }));
    }
    const auto* policy = job.group->pool.policy;
    return "place " + std::to_string(before + 1) + " of " + std::to_string(jobs) + " jobs of team " +
           job.group->team.name.value() + " in pool " + job.group->pool.name.value() + " (priority " +
           std::to_string(policy == nullptr ? 0 : policy->priority) + "); " + std::to_string(others) +
           " jobs of other teams wait in the pool; the team holds " +
           percent(job.group->team.held.dominant_share(this->state.workers.capacity())) + " of the shard";
}

std::string explainer::at_best(const waiting_job& job, const admission_result& result) const {
    if (result.stopped_by == gate::open) {
        return "at best now";
    }
    if (result.stopped_by == gate::reservation && this->state.reserved->at.has_value()) {
        return "at best in " + seconds(*this->state.reserved->at - this->now);
    }
    if (result.stopped_by != gate::room) {
        return "";
    }
    const auto tasks = admission::tasks_together(*job.group, job);
    const auto plan = forecast(this->state, this->now).earliest(result.size, tasks, job.group->pool.urgent());
    if (!plan.at.has_value()) {
        return "the estimates name no time at which it fits: what it waits for are services or stragglers";
    }
    const auto& worker = this->state.workers.rows()[plan.rows.front()].info.name;
    return "at best in " + seconds(*plan.at - this->now) + " on worker " + worker.value() +
           ", by the estimates";
}

void explainer::say_running(const waiting_job& job, std::vector<std::string>& lines) const {
    for (const auto& [task, worker] : job.placed_on) {
        const auto* what = this->state.holdings.of_task(job.spec.id, task);
        if (what != nullptr) {
            lines.push_back(this->running(*what));
        }
    }
}

std::string explainer::running(const holding& what) const {
    const bool bound = what.attempt.attempt > 0;
    std::string text = "task " + std::to_string(what.attempt.task) + (bound ? " runs" : " is being started") +
                       " on worker " + what.worker.value() + " since " + seconds(this->now - what.since) +
                       ", counted with " + what.size.text();
    if (what.size != what.declared) {
        text += " (declared " + what.declared.text() + ")";
    }
    const auto& why = what.reason;
    if (why.adopted) {
        text += "; found running there";
    } else if (why.probe) {
        text += "; as the probe of a worker that had been set aside";
    } else {
        text += "; of " + std::to_string(why.candidates) + " places with room " +
                (why.spread ? "in the rack with the fewest tasks it" : "it") + " leaves least " +
                std::string(to_string(why.scarcest)) + " over";
        text += what.kind == core::work_kind::gang ? "" : ", " + with_unit(why.left_over, why.scarcest);
    }
    const auto end = what.expected_end(this->now, this->state.options.straggler_factor);
    if (end.has_value()) {
        text += "; expected to end in " + seconds(*end - this->now);
    } else if (what.straggler(this->now, this->state.options.straggler_factor)) {
        text += "; a straggler, expected " + seconds(what.expected_time);
    }
    return text;
}

} // namespace rattanmount::scheduling
