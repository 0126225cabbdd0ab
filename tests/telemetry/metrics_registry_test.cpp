#include "core/errors.h"
#include "telemetry/metrics_registry.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <thread>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::telemetry;
using namespace std::chrono_literals;

TEST_CASE("the text format contains every series with its type and labels") {
    metrics_registry metrics;
    metrics.counter("starts_total", "Starts.", {{"pool", "a"}}).add(3);
    metrics.counter("starts_total", "Starts.", {{"pool", "b\"\\\n"}}).add();
    metrics.gauge("queue", "Waiting.").set(2.5);
    metrics.distribution("wait_seconds", "Waits.").record(250ms);
    CHECK(metrics.render() == "# HELP queue Waiting.\n"
                              "# TYPE queue gauge\n"
                              "queue 2.5\n"
                              "# HELP starts_total Starts.\n"
                              "# TYPE starts_total counter\n"
                              "starts_total{pool=\"a\"} 3\n"
                              "starts_total{pool=\"b\\\"\\\\\\n\"} 1\n"
                              "# HELP wait_seconds Waits.\n"
                              "# TYPE wait_seconds summary\n"
                              "wait_seconds{quantile=\"0.5\"} 0.25\n"
                              "wait_seconds{quantile=\"0.9\"} 0.25\n"
                              "wait_seconds{quantile=\"0.99\"} 0.25\n"
                              "wait_seconds_sum 0.25\n"
                              "wait_seconds_count 1\n"
                              "# HELP wait_seconds_max The greatest value of wait_seconds.\n"
                              "# TYPE wait_seconds_max gauge\n"
                              "wait_seconds_max 0.25\n");
}

TEST_CASE("the same name and labels return the same metric, and invalid names are rejected") {
    metrics_registry metrics;
    auto& first = metrics.counter("a_total", "A.", {{"x", "1"}});
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(metrics.counter("a_total", "A.", {{"x", std::to_string(i)}}));
    }
    CHECK(&first == &metrics.counter("a_total", "A.", {{"x", "1"}}));
    CHECK_THROWS_AS(static_cast<void>(metrics.gauge("a_total", "A.")), core::invalid_argument);
    CHECK_THROWS_AS(static_cast<void>(metrics.counter("1a", "A.")), core::invalid_argument);
    CHECK_THROWS_AS(static_cast<void>(metrics.counter("a b", "A.")), core::invalid_argument);
    CHECK_THROWS_AS(static_cast<void>(metrics.counter("b", "B.", {{"", "x"}})), core::invalid_argument);
}

TEST_CASE("series beyond the limit per name share one series") {
    metrics_registry metrics;
    for (std::size_t i = 0; i < metrics_registry::max_series + 5; ++i) {
        metrics.counter("jobs_total", "Jobs.", {{"team", std::to_string(i)}}).add();
    }
    CHECK_THAT(metrics.render(), Catch::Contains("jobs_total{team=\"other\"} 5\n"));
}

TEST_CASE("concurrent updates from several threads are all counted") {
    metrics_registry metrics;
    auto& total = metrics.counter("n_total", "N.");
    auto& level = metrics.gauge("level", "L.");
    auto& times = metrics.distribution("t_seconds", "T.");
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int each = 0; each < 5000; ++each) {
                total.add();
                level.add(1.0);
                times.record(1ms);
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    CHECK(total.value() == 20000);
    CHECK(level.value() == 20000.0);
    CHECK(times.summary().count == 20000);
}

TEST_CASE("quantiles are exact for few durations and within two per cent for many") {
    distribution times{[] { return core::steady_time{}; }};
    CHECK(times.summary().median.count() == 0.0);
    for (const auto each : {30ms, 10ms, 20ms}) {
        times.record(each);
    }
    CHECK(times.summary().median.count() == Approx(0.020));
    CHECK(times.summary().p99.count() == Approx(0.030));
    CHECK(times.summary().mean.count() == Approx(0.020));

    distribution many{[] { return core::steady_time{}; }};
    for (int i = 0; i < 100000; ++i) {
        many.record(std::chrono::microseconds{(i * 7919LL) % 100000});
    }
    CHECK(many.summary().median.count() == Approx(0.050).epsilon(0.02));
    CHECK(many.summary().p90.count() == Approx(0.090).epsilon(0.02));
    CHECK(many.summary().p99.count() == Approx(0.099).epsilon(0.02));
    CHECK(many.summary().max.count() == Approx(0.099999));
}

TEST_CASE("the maximum covers the recent durations, the count and the sum cover all") {
    core::steady_time now{};
    distribution times{[&] { return now; }};
    const auto record = [&](int count, core::milliseconds time) {
        for (int i = 0; i < count; ++i) {
            times.record(time);
        }
    };
    record(1000, 900ms);
    now += distribution::rotation_interval;
    record(10, 1ms);
    CHECK(times.summary().max.count() == Approx(0.9));
    now += distribution::rotation_interval;
    CHECK(times.summary().max.count() == Approx(0.001));
    CHECK(times.summary().count == 1010);
    CHECK(times.summary().sum.count() == Approx(900.01));
    now += 3 * distribution::rotation_interval;
    CHECK(times.summary().max.count() == 0.0);
}
