#include "core/errors.h"
#include "telemetry/event_list.h"
#include "telemetry/event_text.h"
#include "telemetry/hybrid_clock.h"
#include "telemetry/timeline.h"
#include "telemetry/trace_events.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <thread>
#include <vector>

using namespace rattanmount;
using namespace rattanmount::core;
using namespace rattanmount::telemetry;
using namespace std::chrono_literals;

namespace {

const system_time start = from_epoch(1772357400250ms);

event event_at(milliseconds after, const std::string& host, event_kind kind, event_fields about = {}) {
    return {.at = {.wall = start + after, .counter = 0},
            .host = host_id{host},
            .incarnation = incarnation_id{host + "-1"},
            .kind = kind,
            .about = std::move(about)};
}

event_fields task_fields(const std::string& job, const std::string& worker, const std::string& detail = "") {
    return {.job = job, .worker = worker_id{worker}, .shard = std::nullopt, .detail = detail};
}

/// @return the trace events of one phase type: "X" for complete events, "i" for instant events.
std::vector<nlohmann::json> trace_events(const std::vector<event>& events, const std::string& phase) {
    const auto trace = nlohmann::json::parse(format_trace_events(events));
    std::vector<nlohmann::json> found;
    for (const auto& each : trace.at("traceEvents")) {
        if (each.at("ph") == phase) {
            found.push_back(each);
        }
    }
    return found;
}

} // namespace

TEST_CASE("a full timeline keeps the newest events, oldest first") {
    hybrid_clock clock{{.system = [] { return start; }}};
    timeline line{{.host = host_id{"e1"},
                   .incarnation = incarnation_id{"e1-7"},
                   .now = [&] { return clock.now(); },
                   .capacity = 3}};
    CHECK(line.events().empty());
    for (std::size_t i = 0; i < 8; ++i) {
        line.record(event_kind::job_accepted, {.job = "t/" + std::to_string(i)});
        const auto events = line.events();
        REQUIRE(events.size() == std::min<std::size_t>(i + 1, 3));
        CHECK(events.back().about.job == "t/" + std::to_string(i));
        CHECK(std::is_sorted(events.begin(), events.end(),
                             [](const event& left, const event& right) { return left.at < right.at; }));
    }
    CHECK(line.events().front().about.job == "t/5");
    CHECK(line.overwritten_events() == 5);
    CHECK(line.events().front().host == host_id{"e1"});
    CHECK(line.events().front().incarnation == incarnation_id{"e1-7"});
}

TEST_CASE("events recorded by several threads are in the order of their timestamps") {
    hybrid_clock clock;
    timeline line{
        {.host = host_id{"e1"}, .incarnation = incarnation_id{"e1-7"}, .now = [&] { return clock.now(); }}};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int each = 0; each < 1000; ++each) {
                line.record(event_kind::quick_sent);
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    const auto events = line.events();
    CHECK(events.size() == 4000);
    CHECK(std::is_sorted(events.begin(), events.end(),
                         [](const event& left, const event& right) { return left.at < right.at; }));
}

TEST_CASE("every kind of event has a unique name that parses back") {
    for (std::size_t i = 0; i < event_kind_count; ++i) {
        const auto kind = static_cast<event_kind>(i);
        CHECK(parse_event_kind(to_string(kind)) == kind);
    }
    CHECK_THROWS_AS(static_cast<void>(parse_event_kind("task_flew")), invalid_argument);
}

TEST_CASE("events convert to JSON lines and back, and a malformed line is reported by number") {
    std::vector<event> events{
        event_at(
            0ms, "e1", event_kind::task_ended,
            {.job = "t/\"k\n\"#0.1", .worker = worker_id{"w1"}, .shard = shard_id{0}, .detail = "finished"}),
        event_at(1ms, "e2", event_kind::log_down)};
    const auto text = to_json_lines(events);
    CHECK(std::count(text.begin(), text.end(), '\n') == 2);
    CHECK(parse_json_lines(text) == events);
    CHECK(parse_json_lines("\r\n" + text + "\n\n") == events);
    CHECK(parse_json_lines("").empty());
    CHECK_THROWS_WITH(parse_json_lines(text + "{\"at\":"), Catch::Contains("line 3"));
    CHECK_THROWS_WITH(parse_json_lines("{}"), Catch::Contains("line 1"));
    CHECK_THROWS_WITH(parse_json_lines("5"), Catch::Contains("line 1"));
}

TEST_CASE("invalid UTF-8 from callers does not break the timeline or the trace") {
    const auto text =
        to_json_lines({event_at(0ms, "e1", event_kind::job_refused, {.detail = "bad \xff byte"})});
    CHECK(parse_json_lines(text).size() == 1);
    CHECK_NOTHROW(
        format_trace_events({event_at(0ms, "e1", event_kind::job_refused, {.detail = "bad \xff byte"})}));
}

TEST_CASE("merged events have the same order whichever list they come from") {
    const auto first = event_at(0ms, "e2", event_kind::job_accepted);
    const auto second = event_at(5ms, "e1", event_kind::task_placed);
    const auto third = event_at(5ms, "e2", event_kind::task_started);
    auto fourth = event_at(5ms, "e1", event_kind::task_ended);
    fourth.at.counter = 1;
    const std::vector<event> expected{first, second, third, fourth};
    CHECK(merge({{second, fourth}, {first, third}}) == expected);
    CHECK(merge({{first, third}, {second, fourth}}) == expected);
    CHECK(merge({{first, third}, {second, fourth}, {first, third}}) == expected);
    CHECK(merge({}).empty());
}

TEST_CASE("events are filtered by job, worker and host") {
    const std::vector<event> events{
        event_at(0ms, "e1", event_kind::job_accepted, {.job = "t/a"}),
        event_at(1ms, "e1", event_kind::task_started, task_fields("t/a#0.1", "w1")),
        event_at(2ms, "e2", event_kind::task_started, task_fields("t/ab#0.1", "w1")),
        event_at(3ms, "e2", event_kind::task_ended, task_fields("t/a#0.1", "w1"))};
    CHECK(filter_events(events, {}).size() == 4);
    CHECK(filter_events(events, {.job = "t/a"}).size() == 3);
    CHECK(filter_events(events, {.job = "t/a#0.1"}).size() == 2);
    CHECK(filter_events(events, {.job = "t/a", .host = host_id{"e2"}}).size() == 1);
    CHECK(filter_events(events, {.worker = worker_id{"w1"}}).size() == 3);
    CHECK(filter_events(events, {.worker = worker_id{"w"}}).empty());
}

TEST_CASE("the human-readable text has one line per event") {
    CHECK(format_text({event_at(0ms, "e1", event_kind::task_started, task_fields("t/a#0.1", "w1", "late")),
                       event_at(1ms, "e1", event_kind::log_down)}) ==
          "2026-03-01T09:30:00.250Z/0     e1           task_started       job=t/a#0.1 worker=w1 late\n"
          "2026-03-01T09:30:00.251Z/0     e1           log_down\n");
}

TEST_CASE("a trace has one complete event per attempt, also if a new shard owner reports it again") {
    const auto complete_events =
        trace_events({event_at(0ms, "e1", event_kind::task_started, task_fields("t/a#0.1", "w1")),
                      event_at(4ms, "e2", event_kind::task_started, task_fields("t/a#0.1", "w1")),
                      event_at(10ms, "e2", event_kind::task_ended, task_fields("t/a#0.1", "w1", "finished"))},
                     "X");
    REQUIRE(complete_events.size() == 1);
    CHECK(complete_events[0]["name"] == "t/a#0.1");
    CHECK(complete_events[0]["ts"] == 1772357400250000);
    CHECK(complete_events[0]["dur"] == 10000);
    CHECK(complete_events[0]["args"]["end"] == "finished");
}

TEST_CASE("complete events on one track of a trace do not overlap") {
    std::vector<event> events;
    for (int i = 0; i < 20; ++i) {
        events.push_back(event_at(milliseconds{i}, "e1", event_kind::task_started,
                                  task_fields("t/" + std::to_string(i), "w1")));
        events.push_back(event_at(milliseconds{i + 3}, "e1", event_kind::task_ended,
                                  task_fields("t/" + std::to_string(i), "w1")));
    }
    std::map<int, std::vector<std::pair<std::int64_t, std::int64_t>>> tracks;
    for (const auto& complete_event : trace_events(merge({events}), "X")) {
        const auto from = complete_event.at("ts").get<std::int64_t>();
        tracks[complete_event.at("tid").get<int>()].emplace_back(
            from, from + complete_event.at("dur").get<std::int64_t>());
    }
    CHECK(tracks.size() <= 4);
    for (auto& [track, intervals] : tracks) {
        std::sort(intervals.begin(), intervals.end());
        for (std::size_t i = 1; i < intervals.size(); ++i) {
            CHECK(intervals[i].first >= intervals[i - 1].second);
        }
    }
}

TEST_CASE("a trace contains running attempts, ends without a start and all other events") {
    const std::vector<event> events{
        event_at(0ms, "e1", event_kind::task_started, task_fields("t/a#0.1", "w1")),
        event_at(1ms, "e1", event_kind::log_down),
        event_at(2ms, "e1", event_kind::task_ended, task_fields("t/b#0.1", "w1")),
        event_at(5ms, "e2", event_kind::log_up)};
    const auto complete_events = trace_events(events, "X");
    REQUIRE(complete_events.size() == 1);
    CHECK(complete_events[0]["dur"] == 5000);
    CHECK(complete_events[0]["args"]["end"] == "still running");
    const auto instant_events = trace_events(events, "i");
    REQUIRE(instant_events.size() == 3);
    CHECK(instant_events[0]["name"] == "log_down");
    CHECK(instant_events[1]["name"] == "task_ended");
    CHECK(instant_events[0]["tid"] == instant_events[1]["tid"]);
    CHECK(instant_events[0]["tid"] != instant_events[2]["tid"]);
    CHECK(trace_events({}, "X").empty());
}
