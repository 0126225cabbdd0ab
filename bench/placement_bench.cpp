#include "scheduling/scheduling.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// @file
/// Times placement decisions: on a full shard a task ends, and place() selects the task that gets its
/// resources.

using namespace rattanmount;
using namespace rattanmount::scheduling;

namespace {

constexpr std::size_t waiting_jobs = 10000;
constexpr std::size_t teams = 160;
constexpr core::resources worker_size{.millicores = 64000, .memory_mb = 262144};
constexpr std::size_t tasks_per_worker = 6;

/// The variety of job sizes: a few distinct ones, or all different.
enum class job_sizes : std::uint8_t { few, all_different };

/// A shard without free capacity and with a long queue.
class full_shard {
public:
    full_shard(std::size_t workers, job_sizes variety)
        : variety(variety),
          decisions({.pool = [this](const core::pool_id& name) { return &this->pools.at(name); },
                     .team = [this](const core::team_id& name) { return &this->policies.at(name); }}) {
        this->add_policies();
        for (std::size_t worker = 0; worker < workers; ++worker) {
            const core::worker_id name{"w" + std::to_string(worker)};
            this->decisions.set_worker({.name = name,
                                        .rack = core::rack_id{"r" + std::to_string(worker / 8)},
                                        .data_centre = core::data_centre_id{"suva"},
                                        .capacity = worker_size});
            this->decisions.set_accepting(name, true);
        }
        for (std::size_t job = 0; job < workers * tasks_per_worker + waiting_jobs; ++job) {
            this->add_job();
        }
        while (this->decide(1000) > 0) {
        }
        while (this->decisions.waiting_tasks() < waiting_jobs) {
            this->add_job();
        }
        this->decide(1000);
    }

    /// Ends a random task and refills the queue, so that both shard and queue stay full.
    void end_random_task() {
        this->now += std::chrono::milliseconds{1};
        const auto place = this->random() % this->running.size();
        const auto ended = this->running[place];
        this->running[place] = this->running.back();
        this->running.pop_back();
        this->decisions.task_ended(ended, core::attempt_end::finished, std::chrono::seconds{60}, {},
                                   this->now);
        this->decisions.remove_job(ended.job);
        while (this->decisions.waiting_tasks() < waiting_jobs) {
            this->add_job();
        }
    }

    std::size_t decide(std::size_t max_placements) {
        const auto placed = this->decisions.place(this->now, max_placements);
        this->bind(placed);
        return placed.size();
    }

    std::vector<placement> place(std::size_t max_placements) {
        return this->decisions.place(this->now, max_placements);
    }

    void bind(const std::vector<placement>& placed) {
        for (const auto& each : placed) {
            const core::attempt_id attempt{.job = each.job, .task = each.task, .attempt = 1};
            this->decisions.task_running(attempt, each.worker, {}, this->pool_of[each.job], this->now);
            this->running.push_back(attempt);
        }
    }

private:
    void add_policies() {
        for (std::size_t pool = 0; pool < 4; ++pool) {
            const core::pool_id name{"pool" + std::to_string(pool)};
            this->pools[name] = {.name = name,
                                 .priority = static_cast<std::uint32_t>(pool),
                                 .urgent = pool == 3,
                                 .preemptible = pool == 0,
                                 .max_share = pool == 0 ? 0.8 : 1.0};
        }
        for (std::size_t team = 0; team < teams; ++team) {
            const core::team_id name{"team" + std::to_string(team)};
            this->policies[name] = {.name = name, .weight = static_cast<std::uint32_t>(1 + team % 4)};
        }
    }

    void add_job() {
        const auto pool = this->random() % 8;
        core::job_spec spec{.id = {.team = core::team_id{"team" + std::to_string(this->random() % teams)},
                                   .key = core::request_key{std::to_string(++this->last_job)}},
                            .pool = core::pool_id{"pool" + std::to_string(pool > 3 ? 1 : pool)},
                            .expected_run_time = std::chrono::seconds{60}};
        const std::int64_t cores = 1 + static_cast<std::int64_t>(this->random() % 16);
        spec.each = {.millicores = cores * 1000, .memory_mb = cores * 4096};
        if (this->variety == job_sizes::all_different) {
            spec.each.memory_mb += static_cast<std::int64_t>(this->last_job % 4096);
        }
        this->pool_of[spec.id] = spec.pool;
        this->decisions.add_job(spec, this->now, {0});
    }

    job_sizes variety;
    std::mt19937_64 random{42};
    std::map<core::pool_id, release::pool_policy> pools;
    std::map<core::team_id, release::team_policy> policies;
    scheduler decisions;
    core::steady_time now{std::chrono::hours{1}};
    std::uint64_t last_job = 0;
    std::vector<core::attempt_id> running;
    std::map<core::job_id, core::pool_id> pool_of;
};

double percentile_us(std::vector<std::chrono::nanoseconds>& times, double quantile) {
    if (times.empty()) {
        return 0.0;
    }
    std::sort(times.begin(), times.end());
    const auto place = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
    return std::chrono::duration<double, std::micro>(times[place]).count();
}

/// Times one decision after each task that ends.
void one_decision(benchmark::State& state) {
    full_shard shard(static_cast<std::size_t>(state.range(0)), static_cast<job_sizes>(state.range(1)));
    std::vector<std::chrono::nanoseconds> times;
    std::size_t placed = 0;
    for (auto _ : state) {
        state.PauseTiming();
        shard.end_random_task();
        state.ResumeTiming();
        const auto before = std::chrono::steady_clock::now();
        const auto decided = shard.place(1);
        times.push_back(std::chrono::steady_clock::now() - before);
        state.PauseTiming();
        placed += decided.size();
        shard.bind(decided);
        state.ResumeTiming();
    }
    state.counters["placed"] = static_cast<double>(placed);
    state.counters["p50_us"] = percentile_us(times, 0.5);
    state.counters["p99_us"] = percentile_us(times, 0.99);
    state.counters["max_us"] = percentile_us(times, 1.0);
}

/// Times everything that the control thread does per start: the end of a task, a new job, the decision and
/// its binding.
void whole_round(benchmark::State& state) {
    full_shard shard(static_cast<std::size_t>(state.range(0)), static_cast<job_sizes>(state.range(1)));
    std::size_t placed = 0;
    for (auto _ : state) {
        shard.end_random_task();
        placed += shard.decide(64);
    }
    state.counters["starts_per_second"] =
        benchmark::Counter(static_cast<double>(placed), benchmark::Counter::kIsRate);
}

/// Times decisions in batches of 64, as the control loop makes them under load.
void many_decisions(benchmark::State& state) {
    constexpr std::size_t batch_size = 64;
    full_shard shard(static_cast<std::size_t>(state.range(0)), static_cast<job_sizes>(state.range(1)));
    std::size_t placed = 0;
    for (auto _ : state) {
        state.PauseTiming();
        for (std::size_t end = 0; end < batch_size; ++end) {
            shard.end_random_task();
        }
        state.ResumeTiming();
        const auto decided = shard.place(batch_size);
        state.PauseTiming();
        placed += decided.size();
        shard.bind(decided);
        state.ResumeTiming();
    }
    state.counters["decisions_per_second"] =
        benchmark::Counter(static_cast<double>(placed), benchmark::Counter::kIsRate);
}

void add_arguments(benchmark::internal::Benchmark* bench) {
    for (const std::int64_t workers : {800, 2400, 8000}) {
        bench->Args({workers, static_cast<std::int64_t>(job_sizes::few)});
        bench->Args({workers, static_cast<std::int64_t>(job_sizes::all_different)});
    }
    bench->ArgNames({"workers", "all_different"})->Unit(benchmark::kMicrosecond);
}

} // namespace

BENCHMARK(one_decision)->Apply(add_arguments)->Iterations(5000);
BENCHMARK(whole_round)->Apply(add_arguments)->Iterations(5000);
BENCHMARK(many_decisions)->Apply(add_arguments)->Iterations(200);

BENCHMARK_MAIN();
