#include "core/errors.h"
#include "telemetry/hybrid_clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::core;
using namespace rattanmount::telemetry;
using namespace std::chrono_literals;

namespace {

const system_time start = from_epoch(1772357400250ms);

} // namespace

TEST_CASE("timestamps increase while the wall clock stands still or goes back") {
    auto wall = start;
    hybrid_clock clock{{.system = [&] { return wall; }}};
    auto last = clock.now();
    CHECK(last == hybrid_time{.wall = start, .counter = 0});
    for (const auto step : {0ms, 0ms, -1ms, -10000ms, 0ms, 10000ms, 5ms}) {
        wall += step;
        const auto next = clock.now();
        CHECK(next > last);
        last = next;
    }
    CHECK(last == hybrid_time{.wall = start + 4ms, .counter = 0});
}

TEST_CASE("timestamps are later than those of other processes, except of a clock that is too far ahead") {
    auto wall = start;
    hybrid_clock clock{{.system = [&] { return wall; }, .max_ahead = 1s}};
    const hybrid_time remote{.wall = start + 1s, .counter = 7};
    CHECK(clock.observe(remote));
    CHECK(clock.now() == hybrid_time{.wall = start + 1s, .counter = 8});
    CHECK(clock.observe({.wall = start - 5s, .counter = 3}));
    CHECK(clock.now() == hybrid_time{.wall = start + 1s, .counter = 9});
    CHECK_FALSE(clock.observe({.wall = start + 1001ms, .counter = 0}));
    CHECK(clock.now() == hybrid_time{.wall = start + 1s, .counter = 10});
}

TEST_CASE("a counter overflow carries into the milliseconds") {
    hybrid_clock clock{{.system = [] { return start; }}};
    REQUIRE(clock.observe({.wall = start, .counter = hybrid_time::max_counter}));
    CHECK(clock.now() == hybrid_time{.wall = start + 1ms, .counter = 0});
}

TEST_CASE("no two threads get the same timestamp") {
    hybrid_clock clock{{.system = [] { return start; }}};
    constexpr std::size_t calls_per_thread = 5000;
    std::vector<std::vector<hybrid_time>> taken(4);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (auto& mine : taken) {
        threads.emplace_back([&] {
            for (std::size_t i = 0; i < calls_per_thread; ++i) {
                mine.push_back(clock.now());
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    std::vector<hybrid_time> all;
    for (const auto& mine : taken) {
        CHECK(std::is_sorted(mine.begin(), mine.end()));
        all.insert(all.end(), mine.begin(), mine.end());
    }
    std::sort(all.begin(), all.end());
    CHECK(std::adjacent_find(all.begin(), all.end()) == all.end());
    CHECK(all.size() == 4 * calls_per_thread);
}

TEST_CASE("a hybrid time converts to a number and a text and back, and malformed text is rejected") {
    const hybrid_time time{.wall = start, .counter = 65535};
    CHECK(time.text() == "2026-03-01T09:30:00.250Z/65535");
    CHECK(hybrid_time::parse(time.text()) == time);
    CHECK(hybrid_time::from_number(time.number()) == time);
    CHECK(hybrid_time{.wall = start, .counter = 1}.number() > hybrid_time{.wall = start}.number());
    CHECK(hybrid_time{.wall = start + 1ms}.number() > time.number());
    for (const auto* wrong :
         {"", "2026-03-01", "2026-13-01T09:30:00.250Z/0", "2026-02-30T09:30:00.250Z/0",
          "2026-03-01T09:30:00.250Z/65536", "2026-03-01T09:30:00.250Z/-1", "2026-03-01T09:30:00.250Z/0 ",
          "2026-03-01T25:30:00.250Z/0", "2026-3-1T09:30:00.250Z/0"}) {
        CAPTURE(wrong);
        CHECK_THROWS_AS(static_cast<void>(hybrid_time::parse(wrong)), invalid_argument);
    }
}
