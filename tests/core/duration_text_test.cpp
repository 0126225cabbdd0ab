#include "core/duration_text.h"
#include "core/errors.h"

#include <catch2/catch.hpp>

using namespace rattanmount::core;
using namespace std::chrono_literals;

TEST_CASE("durations are parsed with their unit, and a formatted duration parses to the same value") {
    CHECK(parse_duration("250ms") == 250ms);
    CHECK(parse_duration("90s") == 90s);
    CHECK(parse_duration("15m") == 15min);
    CHECK(parse_duration("2h") == 2h);
    CHECK(parse_duration("7d") == 168h);
    CHECK(parse_duration("0") == 0ms);
    for (const milliseconds value :
         {0ms, 1ms, 1500ms, milliseconds{90s}, milliseconds{25h}, milliseconds{48h}}) {
        CHECK(parse_duration(format_duration(value)) == value);
    }
    CHECK(format_duration(120min) == "2h");
}

TEST_CASE("text that is not a whole number with a known unit is rejected as a duration") {
    for (const auto* text : {"", "5", "ms", "-5s", "+5s", " 5s", "5 s", "5S", "1.5s", "5s ", "5sec",
                             "99999999999999999999ms", "18446744073709551615d", "10001d"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parse_duration(text), invalid_argument);
    }
}
