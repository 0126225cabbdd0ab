#include "scheduling/scheduler.h"

#include <algorithm>
#include <utility>

namespace rattanmount::scheduling {

scheduler::scheduler(scheduler_options options) : options(std::move(options)) {}

void scheduler::set_worker(const worker_info& worker) {
    const bool known = this->workers.contains(worker.name);
    auto& state = this->workers[worker.name];
    state.info = worker;
    if (known) {
        return;
    }
    for (const auto& [key, what] : this->holdings) {
        if (what.worker == worker.name) {
            state.used += what.size;
        }
    }
}

void scheduler::remove_worker(const core::worker_id& worker) {
    this->workers.erase(worker);
}

void scheduler::set_accepting(const core::worker_id& worker, bool accepting) {
    const auto found = this->workers.find(worker);
    if (found != this->workers.end()) {
        found->second.accepting = accepting;
    }
}

std::optional<std::string> scheduler::never_fits(const core::job_spec& spec) const {
    std::string excess = "no worker is known";
    for (const auto& [name, state] : this->workers) {
        if (spec.each.fits_in(state.info.capacity)) {
            return std::nullopt;
        }
        excess = spec.each.first_excess(state.info.capacity) + " " + spec.each.text() + " is more than " +
                 name.value() + " has, " + state.info.capacity.text();
    }
    return this->workers.empty() ? std::nullopt : std::optional(excess);
}

void scheduler::add_job(const core::job_spec& spec, core::steady_time waiting_since,
                        const std::vector<std::uint32_t>& waiting_tasks) {
    auto& job = this->jobs[spec.id];
    job.spec = spec;
    job.since = waiting_since;
    job.waiting.insert(waiting_tasks.begin(), waiting_tasks.end());
}

void scheduler::remove_job(const core::job_id& job) {
    this->jobs.erase(job);
}

void scheduler::requeue(const core::job_id& job, std::uint32_t task, core::steady_time) {
    const auto found = this->jobs.find(job);
    if (found != this->jobs.end()) {
        found->second.waiting.insert(task);
    }
}

std::vector<placement> scheduler::place(core::steady_time now, std::size_t most) {
    std::vector<job_state*> order;
    for (auto& [id, job] : this->jobs) {
        if (!job.waiting.empty()) {
            order.push_back(&job);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const job_state* left, const job_state* right) {
        return left->since < right->since;
    });
    std::vector<placement> placed;
    for (auto* job : order) {
        while (placed.size() < most && !job->waiting.empty() && this->place_job(*job, now, placed)) {
        }
    }
    return placed;
}

bool scheduler::place_job(job_state& job, core::steady_time now, std::vector<placement>& placed) {
    const std::size_t wanted = job.spec.kind == core::work_kind::gang ? job.waiting.size() : 1;
    std::vector<task_key> taken;
    for (const auto task : job.waiting) {
        auto* worker = taken.size() < wanted ? this->find_room(job.spec.each) : nullptr;
        if (worker == nullptr) {
            break;
        }
        taken.emplace_back(job.spec.id, task);
        this->hold(taken.back(), {.attempt = {.job = job.spec.id, .task = task},
                                  .worker = worker->info.name,
                                  .size = job.spec.each,
                                  .pool = job.spec.pool,
                                  .since = now});
    }
    if (taken.size() < wanted) {
        for (const auto& key : taken) {
            this->release(this->holdings.find(key));
        }
        return false;
    }
    for (const auto& [id, task] : taken) {
        job.waiting.erase(task);
        placed.push_back({.job = id, .task = task, .worker = this->holdings.at({id, task}).worker});
    }
    job.started = true;
    return true;
}

scheduler::worker_state* scheduler::find_room(const core::resources& size) {
    for (auto& [name, state] : this->workers) {
        if (state.accepting && size.fits_in(state.info.capacity - state.used)) {
            return &state;
        }
    }
    return nullptr;
}

void scheduler::hold(const task_key& key, const holding& what) {
    this->holdings[key] = what;
    this->team_held[key.first.team] += what.size;
    const auto found = this->workers.find(what.worker);
    if (found != this->workers.end()) {
        found->second.used += what.size;
    }
}

void scheduler::release(std::map<task_key, holding>::iterator position) {
    if (position == this->holdings.end()) {
        return;
    }
    const auto& what = position->second;
    this->team_held[position->first.first.team] -= what.size;
    const auto found = this->workers.find(what.worker);
    if (found != this->workers.end()) {
        found->second.used -= what.size;
    }
    this->holdings.erase(position);
}

void scheduler::task_running(const core::attempt_id& attempt, const core::worker_id& worker,
                             const core::resources& each, const core::pool_id& pool,
                             core::steady_time since) {
    const task_key key{attempt.job, attempt.task};
    const auto found = this->holdings.find(key);
    if (found != this->holdings.end()) {
        found->second.attempt = attempt;
        found->second.since = since;
        return;
    }
    this->hold(key, {.attempt = attempt, .worker = worker, .size = each, .pool = pool, .since = since});
    const auto job = this->jobs.find(attempt.job);
    if (job != this->jobs.end()) {
        job->second.waiting.erase(attempt.task);
        job->second.started = true;
    }
}

void scheduler::placement_dropped(const core::job_id& job, std::uint32_t task) {
    const auto found = this->holdings.find({job, task});
    if (found == this->holdings.end()) {
        return;
    }
    this->release(found);
    const auto known = this->jobs.find(job);
    if (known != this->jobs.end()) {
        known->second.waiting.insert(task);
    }
}

void scheduler::task_over(const core::attempt_id& attempt, core::attempt_end, core::milliseconds,
                          const core::resources&, core::steady_time) {
    this->release(this->holdings.find({attempt.job, attempt.task}));
}

void scheduler::task_usage(const core::attempt_id&, const core::resources&, core::milliseconds) {}

std::vector<preemption> scheduler::preempt(core::steady_time) {
    return {};
}

std::vector<std::string> scheduler::explain(const core::job_id& job, core::steady_time) const {
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end()) {
        return {"this shard does not hold the job"};
    }
    std::vector<std::string> lines;
    if (!found->second.waiting.empty()) {
        lines.push_back(std::to_string(found->second.waiting.size()) + " tasks wait for room");
    }
    for (const auto& [key, what] : this->holdings) {
        if (key.first == job) {
            lines.push_back("task " + std::to_string(key.second) + " is on worker " + what.worker.value());
        }
    }
    return lines;
}

core::resources scheduler::free() const {
    core::resources sum;
    for (const auto& [name, state] : this->workers) {
        if (state.accepting) {
            sum += state.info.capacity - state.used;
        }
    }
    return sum;
}

core::resources scheduler::largest_free() const {
    core::resources largest;
    for (const auto& [name, state] : this->workers) {
        const auto room = state.info.capacity - state.used;
        if (state.accepting && room.millicores > largest.millicores) {
            largest = room;
        }
    }
    return largest;
}

std::uint32_t scheduler::waiting_tasks() const {
    std::size_t count = 0;
    for (const auto& [id, job] : this->jobs) {
        count += job.waiting.size();
    }
    return static_cast<std::uint32_t>(count);
}

std::vector<core::job_id> scheduler::movable(core::steady_time now, core::milliseconds waited,
                                             std::size_t most) const {
    std::vector<core::job_id> found;
    for (const auto& [id, job] : this->jobs) {
        if (found.size() < most && !job.started && !job.waiting.empty() && now - job.since >= waited) {
            found.push_back(id);
        }
    }
    return found;
}

core::resources scheduler::held(const core::team_id& team) const {
    const auto found = this->team_held.find(team);
    return found == this->team_held.end() ? core::resources{} : found->second;
}

std::vector<core::team_id> scheduler::teams() const {
    std::vector<core::team_id> names;
    for (const auto& [name, amount] : this->team_held) {
        if (amount != core::resources{}) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace rattanmount::scheduling
