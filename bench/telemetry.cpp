#include "telemetry/telemetry.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace rattanmount;
using namespace std::chrono_literals;

namespace {

void add_to_counter(benchmark::State& state) {
    static telemetry::metrics_registry all;
    static auto& counter = all.counter("adds_total", "Adds.");
    for (auto _ : state) {
        counter.add();
    }
}

void record_time(benchmark::State& state) {
    static telemetry::metrics_registry all;
    static auto& times = all.distribution("times_seconds", "Times.");
    for (auto _ : state) {
        times.record(3ms);
    }
}

void record_event(benchmark::State& state) {
    static telemetry::hybrid_clock clock;
    static telemetry::timeline line{{.host = core::host_id{"entry-1"},
                                     .incarnation = core::incarnation_id{"entry-1-0123456789abcdef"},
                                     .now = [] { return clock.now(); }}};
    for (auto _ : state) {
        line.record(telemetry::event_kind::task_started, {.job = "tabua/exam-labels-2026-03-01#0.1",
                                                          .worker = core::worker_id{"suva-1-rack-2-w7"},
                                                          .shard = core::shard_id{3},
                                                          .detail = ""});
    }
}

void render_counters(benchmark::State& state) {
    constexpr int pools = 100;
    telemetry::metrics_registry all;
    for (int i = 0; i < pools; ++i) {
        const telemetry::labels labels{{"pool", std::to_string(i)}};
        all.counter("starts_total", "Starts.", labels).add();
        all.distribution("wait_seconds", "Waits.", labels).record(3ms);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(all.render());
    }
}

BENCHMARK(add_to_counter)->Threads(1)->Threads(4);
BENCHMARK(record_time)->Threads(1)->Threads(4);
BENCHMARK(record_event)->Threads(1)->Threads(4);
BENCHMARK(render_counters);

} // namespace

BENCHMARK_MAIN();
