#include "dispatch/hold_pace.h"
#include "dispatch/order_window.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using dispatch::order_window;

constexpr core::steady_time begin{1h};

/// Fills the window and has all orders answered, several times.
/// @return the time after the last round.
core::steady_time answer_rounds(order_window& window, int rounds, core::milliseconds taken,
                                core::steady_time now) {
    for (int i = 0; i < rounds; i++) {
        const auto count = window.limit();
        for (std::size_t k = 0; k < count; k++) {
            window.sent();
        }
        now += taken;
        for (std::size_t k = 0; k < count; k++) {
            window.answered(taken, 10ms, now);
        }
    }
    return now;
}

} // namespace

TEST_CASE("the order window grows while orders do not queue") {
    order_window window;
    const auto before = window.limit();
    answer_rounds(window, 3, 10ms, begin);
    CHECK(window.limit() > before * 2);
}

TEST_CASE("the order window halves when most orders queue, once in an interval") {
    order_window window;
    const auto grown = answer_rounds(window, 4, 10ms, begin);
    const auto before = window.limit();
    const auto halved = answer_rounds(window, 1, 200ms, grown);
    CHECK(window.limit() == before / 2);
    answer_rounds(window, 1, 200ms, halved);
    CHECK(window.limit() == before / 2);
}

TEST_CASE("the order window halves when an eighth of the orders fails, not when one does") {
    order_window window;
    const auto before = window.limit();
    window.sent();
    window.failed(begin);
    CHECK(window.limit() == before);
    for (std::size_t i = 0; i < before; i++) {
        window.sent();
        window.failed(begin);
    }
    CHECK(window.limit() == before / 2);
    CHECK(window.count() == 0);
}

TEST_CASE("the order window never shrinks below its least size") {
    order_window window;
    answer_rounds(window, 20, 300ms, begin);
    CHECK(window.limit() == 16);
    CHECK(window.has_room());
}

TEST_CASE("timeouts follow the round trip up to a limit") {
    order_window window;
    CHECK(window.timeout(140ms) == 140ms);
    window.add_round_trip(200ms);
    CHECK(window.timeout(140ms) == 400ms);
    window.add_round_trip(20s);
    CHECK(window.timeout(140ms) == 560ms);
}

TEST_CASE("holds to workers that have not answered are spread over time") {
    dispatch::hold_pace pace;
    const auto taken = [&pace] {
        int count = 0;
        while (pace.take()) {
            count++;
        }
        return count;
    };
    pace.advance(32, 10ms, begin);
    CHECK(taken() == 32);
    CHECK(pace.available_at(begin) > begin);
    pace.advance(32, 10ms, begin + 25ms);
    CHECK(taken() == 32);
    pace.advance(32, 1s, begin + 75ms);
    CHECK(taken() == 16);
}

} // namespace rattanmount::tests
