#pragma once

#include "scheduling/scheduling.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::scheduling::testing {

/// The calls that virtual_shard makes to the scheduler. A benchmark replaces them with a baseline scheduler.
struct decision_hooks {
    std::function<void(const core::job_spec&, core::steady_time)> add;
    std::function<std::vector<placement>(core::steady_time)> place;
    std::function<void(const core::attempt_id&, const core::worker_id&, const core::job_spec&,
                       core::steady_time)>
        running;
    std::function<void(const core::attempt_id&, core::attempt_end, core::milliseconds, core::steady_time)>
        ended;
    std::function<std::vector<preemption>(core::steady_time)> preempt;
    std::function<void(const core::job_id&)> remove;
    std::function<void(const core::job_id&, std::uint32_t, core::steady_time)> requeue;
};

/// One task start as recorded by virtual_shard.
struct start_record {
    core::job_id job;
    core::pool_id pool;
    core::worker_id worker;
    core::steady_time at;
    core::milliseconds waited{0};
};

/// Simulates the workers of a shard in virtual time. Counts resource use independently of the scheduler.
class virtual_shard {
public:
    explicit virtual_shard(scheduler_options options = {})
        : decisions([&] {
              options.pool = [this](const core::pool_id& name) {
                  const auto known = this->pools.find(name);
                  return known == this->pools.end() ? nullptr : &known->second;
              };
              options.team = [this](const core::team_id& name) {
                  const auto known = this->teams.find(name);
                  return known == this->teams.end() ? nullptr : &known->second;
              };
              return options;
          }()) {
        this->hooks = {
            .add =
                [this](const core::job_spec& spec, core::steady_time since) {
                    std::vector<std::uint32_t> tasks(spec.tasks);
                    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
                        tasks[task] = task;
                    }
                    this->decisions.add_job(spec, since, tasks);
                },
            .place = [this](core::steady_time at) { return this->decisions.place(at, 100000); },
            .running =
                [this](const core::attempt_id& attempt, const core::worker_id& worker,
                       const core::job_spec& spec, core::steady_time since) {
                    this->decisions.task_running(attempt, worker, spec.each, spec.pool, since);
                },
            .ended = [this](const core::attempt_id& attempt, core::attempt_end end, core::milliseconds ran,
                            core::steady_time at) { this->decisions.task_ended(attempt, end, ran, {}, at); },
            .preempt = [this](core::steady_time at) { return this->decisions.preempt(at); },
            .remove = [this](const core::job_id& job) { this->decisions.remove_job(job); },
            .requeue = [this](const core::job_id& job, std::uint32_t task,
                              core::steady_time at) { this->decisions.requeue(job, task, at); }};
    }
    virtual_shard(const virtual_shard&) = delete;
    virtual_shard& operator=(const virtual_shard&) = delete;
    ~virtual_shard() = default;

    void add_pool(release::pool_policy policy) { this->pools[policy.name] = std::move(policy); }
    void add_team(release::team_policy policy) { this->teams[policy.name] = std::move(policy); }

    void add_workers(std::size_t count, std::size_t per_rack, const core::resources& capacity) {
        for (std::size_t made = 0; made < count; ++made) {
            const auto number = this->capacity.size();
            const worker_info info{.name = core::worker_id{"w" + std::to_string(number)},
                                   .rack = core::rack_id{"r" + std::to_string(number / per_rack)},
                                   .data_centre = core::data_centre_id{"suva"},
                                   .capacity = capacity};
            this->decisions.set_worker(info);
            this->decisions.set_accepting(info.name, true);
            this->capacity[info.name] = capacity;
        }
    }

    /// Schedules the arrival of a job whose tasks run for `run_time`.
    void submit(const core::job_spec& spec, core::milliseconds run_time, core::steady_time at) {
        this->run_times[spec.id] = run_time;
        this->arrivals.push({.at = at, .serial = ++this->serial, .spec = spec});
    }
    void submit(const core::job_spec& spec, core::milliseconds run_time) {
        this->submit(spec, run_time, this->now);
    }

    /// Advances the time to `end`. Calls step() at each arrival and end and at least once per tick.
    void run_until(core::steady_time end) {
        while (this->now < end) {
            auto next = std::min(end, this->now + this->tick);
            if (!this->arrivals.empty()) {
                next = std::min(next, std::max(this->now, this->arrivals.top().at));
            }
            if (!this->ends.empty()) {
                next = std::min(next, std::max(this->now, this->ends.top().at));
            }
            this->now = next;
            this->step();
        }
    }
    void run_for(core::milliseconds time) { this->run_until(this->now + time); }

    /// Handles the arrivals and ends that are due now, then calls decide().
    void step() {
        while (!this->arrivals.empty() && this->arrivals.top().at <= this->now) {
            const auto arrival = this->arrivals.top();
            this->arrivals.pop();
            this->arrived[arrival.spec.id] = this->now;
            this->specs[arrival.spec.id] = arrival.spec;
            this->hooks.add(arrival.spec, this->now);
        }
        while (!this->ends.empty() && this->ends.top().at <= this->now) {
            const auto due = this->ends.top();
            this->ends.pop();
            const auto known = this->running.find(due.attempt);
            if (known == this->running.end()) {
                continue; // Already stopped.
            }
            const auto end = this->attempt_outcome ? this->attempt_outcome(due.attempt, known->second.worker)
                                                   : core::attempt_end::finished;
            this->finish(due.attempt, due.stopped ? core::attempt_end::stopped : end);
        }
        this->decide();
    }

    /// Ends a running attempt. A task that did not finish is queued again.
    void finish(const core::attempt_id& which, core::attempt_end end) {
        const auto known = this->running.find(which);
        if (known == this->running.end()) {
            return;
        }
        const auto [attempt, record] = *known; // Copies: `which` may be the key that is erased.
        this->running.erase(known);
        this->in_use[record.worker] -= this->specs.at(attempt.job).each;
        const auto ran = std::chrono::duration_cast<core::milliseconds>(this->now - record.since);
        this->hooks.ended(attempt, end, ran, this->now);
        if (end == core::attempt_end::finished) {
            this->finished[attempt.job]++;
        } else {
            this->hooks.requeue(attempt.job, attempt.task, this->now);
        }
    }

    /// Starts what the scheduler places and schedules the ends of preempted tasks.
    void decide() {
        for (const auto& placed : this->hooks.place(this->now)) {
            this->start(placed);
        }
        if (!this->preempts) {
            return;
        }
        for (const auto& decided : this->hooks.preempt(this->now)) {
            this->preemptions.push_back(decided);
            if (decided.kind != preemption_kind::throttle) {
                const auto delay =
                    decided.kind == preemption_kind::stop ? this->stop_time : this->checkpoint_time;
                this->ends.push({.at = this->now + delay, .attempt = decided.attempt, .stopped = true});
            }
        }
    }

    /// @return the sorted waits of a pool's started tasks; tasks that are still waiting are not included.
    std::vector<core::milliseconds> waits(const std::string& pool) const {
        std::vector<core::milliseconds> found;
        for (const auto& record : this->starts) {
            if (record.pool.value() == pool) {
                found.push_back(record.waited);
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    core::resources total_in_use() const {
        core::resources sum;
        for (const auto& [worker, used] : this->in_use) {
            sum += used;
        }
        return sum;
    }

    std::map<core::pool_id, release::pool_policy> pools;
    std::map<core::team_id, release::team_policy> teams;
    scheduler decisions;
    decision_hooks hooks;
    core::steady_time now{std::chrono::hours{1}};
    core::milliseconds tick{100};
    bool preempts = false;
    core::milliseconds checkpoint_time{500}; ///< From a checkpoint request to the end of the task.
    core::milliseconds stop_time{50};        ///< From a stop request to the end of the task.
    /// Decides how an attempt ends; if empty, every attempt finishes.
    std::function<core::attempt_end(const core::attempt_id&, const core::worker_id&)> attempt_outcome;

    std::map<core::worker_id, core::resources> capacity;
    std::map<core::worker_id, core::resources> in_use;
    struct running_task {
        core::worker_id worker;
        core::steady_time since;
    };
    std::map<core::attempt_id, running_task> running;
    std::vector<start_record> starts;
    std::vector<preemption> preemptions;
    std::map<core::job_id, std::uint32_t> finished;
    std::uint64_t exceeded = 0; ///< Starts that exceeded a worker's capacity.

private:
    struct arrival {
        core::steady_time at;
        std::uint64_t serial;
        core::job_spec spec;
        bool operator<(const arrival& other) const {
            return this->at != other.at ? this->at > other.at : this->serial > other.serial;
        }
    };
    struct due_end {
        core::steady_time at;
        core::attempt_id attempt;
        bool stopped = false;
        bool operator<(const due_end& other) const { return this->at > other.at; }
    };

    void start(const placement& placed) {
        const auto& spec = this->specs.at(placed.job);
        const core::attempt_id attempt{
            .job = placed.job, .task = placed.task, .attempt = ++this->attempts[{placed.job, placed.task}]};
        this->in_use[placed.worker] += spec.each;
        this->exceeded += this->in_use[placed.worker].fits_in(this->capacity[placed.worker]) ? 0 : 1;
        this->running[attempt] = {.worker = placed.worker, .since = this->now};
        this->hooks.running(attempt, placed.worker, spec, this->now);
        this->ends.push({.at = this->now + this->run_times.at(placed.job), .attempt = attempt});
        const auto waited =
            std::chrono::duration_cast<core::milliseconds>(this->now - this->arrived.at(placed.job));
        this->starts.push_back({.job = placed.job,
                                .pool = spec.pool,
                                .worker = placed.worker,
                                .at = this->now,
                                .waited = waited});
    }

    std::uint64_t serial = 0;
    std::priority_queue<arrival> arrivals;
    std::priority_queue<due_end> ends;
    std::map<core::job_id, core::milliseconds> run_times;
    std::map<core::job_id, core::steady_time> arrived;
    std::map<core::job_id, core::job_spec> specs;
    std::map<std::pair<core::job_id, std::uint32_t>, std::uint32_t> attempts;
};

/// @return the value below which the given share, 0 to 1, of the sorted values lies; 0 if there are none.
inline core::milliseconds percentile(const std::vector<core::milliseconds>& sorted, double share) {
    if (sorted.empty()) {
        return core::milliseconds{0};
    }
    const auto place = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[place];
}

/// @return a job with one task.
inline core::job_spec make_job(const std::string& team, const std::string& key, const std::string& pool,
                               const core::resources& each) {
    return {.id = {.team = core::team_id{team}, .key = core::request_key{key}},
            .pool = core::pool_id{pool},
            .each = each};
}

/// @return a pool with the given name and priority.
inline release::pool_policy make_pool(const std::string& name, std::uint32_t priority = 0) {
    return {.name = core::pool_id{name}, .priority = priority};
}

} // namespace rattanmount::scheduling::testing
