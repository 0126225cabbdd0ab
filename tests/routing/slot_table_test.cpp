#include "routing/slot_table.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::routing;
using namespace std::chrono_literals;

namespace {

const core::service_id templates{"templates"};

std::vector<executor_info> executors(int count, std::uint32_t slots = 8) {
    std::vector<executor_info> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        made.push_back(
            {.name = core::executor_id{"x" + std::to_string(number)}, .service = templates, .slots = slots});
    }
    return made;
}

core::steady_time at(core::milliseconds time) {
    return core::steady_time{} + 1h + time;
}

} // namespace

TEST_CASE("no executor ever has more requests than slots, across changes of the shard's owner") {
    // Tracks independently of the table which requests may be running: each one until its end is known or its
    // time limit has passed.
    struct running {
        core::executor_id executor;
        std::uint64_t grant = 0;
        core::steady_time limit;
        bool current_owner = true;
    };
    constexpr auto longest = 400ms;
    constexpr auto margin = 50ms;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random{seed};
        auto now = at(0ms);
        const slot_table_options options{.release_margin = margin};
        slot_table table{options};
        table.set_executors(executors(3));
        std::vector<running> runs;
        std::size_t granted = 0;
        for (int step = 0; step < 4000; ++step) {
            now += core::milliseconds{random() % 5};
            table.expire(now);
            std::erase_if(runs, [&](const running& run) { return now >= run.limit; });
            const auto dice = random() % 1000;
            if (dice < 550) {
                const core::milliseconds limit{1 + random() % longest.count()};
                if (const auto slot = table.reserve(templates, limit, now)) {
                    runs.push_back({.executor = slot->executor, .grant = slot->grant, .limit = now + limit});
                    ++granted;
                }
            } else if (dice < 990 && !runs.empty()) {
                const auto index = random() % runs.size();
                const auto run = runs.at(index);
                const bool lost = random() % 10 == 0;
                if (run.current_owner) {
                    table.release(run.grant, lost ? slot_end::lost : slot_end::answered, now);
                }
                if (!lost) {
                    runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(index));
                }
            } else if (dice == 999) {
                // A new owner does not know which slots the previous one granted.
                table = slot_table{options};
                table.set_executors(executors(3));
                table.hold_until(now + longest + margin);
                for (auto& run : runs) {
                    run.current_owner = false;
                }
            }
            std::map<core::executor_id, int> used;
            for (const auto& run : runs) {
                ++used[run.executor];
            }
            for (const auto& [executor, count] : used) {
                INFO("seed " << seed << " step " << step << " executor " << executor.value());
                REQUIRE(count <= 8);
            }
        }
        REQUIRE(granted > 300);
    }
}

TEST_CASE("an executor that does not answer delays no request to other executors") {
    slot_table table{{.circuit = {.failure_threshold = 2, .open_time = 2s}}};
    table.set_executors(executors(2, 4));
    const core::executor_id unresponsive{"x0"};
    int to_unresponsive = 0;
    auto now = at(0ms);
    for (int request = 0; request < 200; ++request) {
        now += 5ms;
        const auto slot = table.reserve(templates, 500ms, now);
        REQUIRE(slot);
        if (slot->executor != unresponsive) {
            table.release(slot->grant, slot_end::answered, now);
            continue;
        }
        ++to_unresponsive;
        table.release(slot->grant, slot_end::lost, now + 1ms);
    }
    // At most its four slots are used before the circuit opens. All 200 requests fall within one second, less
    // than open_time.
    REQUIRE(to_unresponsive <= 4);
}

TEST_CASE("an open circuit is probed by one request at a time and closed by an answer") {
    std::vector<bool> changes;
    slot_table table{
        {.circuit = {.failure_threshold = 3, .open_time = 1s},
         .on_circuit_change = [&](const core::executor_id&, bool open) { changes.push_back(open); }}};
    table.set_executors(executors(1));
    for (int failure = 0; failure < 3; ++failure) {
        const auto slot = table.reserve(templates, 100ms, at(0ms));
        REQUIRE(slot);
        table.release(slot->grant, slot_end::refused, at(0ms));
    }
    REQUIRE(changes == std::vector<bool>{true});
    REQUIRE(table.free_slots(templates, at(999ms)) == 0);
    REQUIRE_FALSE(table.reserve(templates, 100ms, at(999ms)));
    const auto probe = table.reserve(templates, 100ms, at(1000ms));
    REQUIRE(probe);
    REQUIRE_FALSE(table.reserve(templates, 100ms, at(1001ms)));
    table.release(probe->grant, slot_end::refused, at(1002ms));
    REQUIRE_FALSE(table.reserve(templates, 100ms, at(1900ms)));
    const auto second = table.reserve(templates, 100ms, at(2002ms));
    REQUIRE(second);
    table.release(second->grant, slot_end::answered, at(2003ms));
    REQUIRE(changes == std::vector<bool>{true, false});
    REQUIRE(table.free_slots(templates, at(2003ms)) == 8);
}

TEST_CASE("a probe whose end is never reported does not keep the circuit open for ever") {
    slot_table table{{.release_margin = 100ms, .circuit = {.failure_threshold = 1, .open_time = 1s}}};
    table.set_executors(executors(1));
    const auto first = table.reserve(templates, 100ms, at(0ms));
    table.release(first->grant, slot_end::refused, at(0ms));
    REQUIRE(table.reserve(templates, 100ms, at(1000ms)));
    table.expire(at(1200ms));
    REQUIRE(table.reserve(templates, 100ms, at(1200ms)));
}

TEST_CASE("an executor gets no more requests once it is removed from the list or its circuit opens") {
    slot_table table{{.circuit = {.failure_threshold = 3, .open_time = 10s}}};
    table.set_executors(executors(2));
    SECTION("removed from the list") {
        table.set_executors({executors(2).back()});
    }
    SECTION("refuses requests while still listed") {
        int refused = 0;
        for (auto time = 0ms; time < 3s && refused < 3; time += 10ms) {
            const auto slot = table.reserve(templates, 100ms, at(time));
            REQUIRE(slot);
            const bool leaving = slot->executor == core::executor_id{"x0"};
            refused += leaving ? 1 : 0;
            table.release(slot->grant, leaving ? slot_end::refused : slot_end::answered, at(time));
        }
    }
    for (int request = 0; request < 8; ++request) {
        const auto slot = table.reserve(templates, 100ms, at(3s));
        REQUIRE(slot);
        REQUIRE(slot->executor == core::executor_id{"x1"});
    }
    REQUIRE_FALSE(table.reserve(templates, 100ms, at(3s)));
}
