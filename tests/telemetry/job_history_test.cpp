#include "telemetry/job_history.h"

#include <catch2/catch.hpp>

using namespace rattanmount::telemetry;

TEST_CASE("the lines of one job are collected from the logs of several hosts, sorted by time") {
    const std::string front =
        "time=2026-01-01T00:00:01.000Z level=info what=\"job submitted\" job=ab outcome=stored\n"
        "time=2026-01-01T00:00:01.000Z level=info what=\"job submitted\" job=abc outcome=stored\n";
    const std::string leader =
        "time=2026-01-01T00:00:03.000Z level=info what=\"job over\" job=ab phase=completed\n"
        "time=2026-01-01T00:00:02.000Z level=info what=\"start\" task=ab.0.0.1 run=1 worker=w\n";
    const auto history = collect_job_history("ab", {leader, front});
    REQUIRE(history.lines.size() == 3);
    CHECK(history.lines[0].find("job submitted") != std::string::npos);
    CHECK(history.lines[1].find("task=ab.0.0.1") != std::string::npos);
    CHECK(history.lines[2].find("job over") != std::string::npos);
    CHECK(history.missing.empty());
}

TEST_CASE("expected lines that were not found are reported as missing") {
    const auto history =
        collect_job_history("ab", {"time=1 level=info what=\"start\" task=ab.0.0.1 run=1 worker=w\n"});
    CHECK(history.lines.size() == 1);
    CHECK(history.missing.size() == 2);
    CHECK(collect_job_history("zz", {}).missing.size() == 3);
}
