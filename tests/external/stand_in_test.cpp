#include "external/fleet_codec.h"
#include "external/http_caller.h"
#include "tests/external/stand_in_fixture.h"

#include <catch2/catch.hpp>

using namespace platform_test;
using stand_ins::fault_kind;
using stand_ins::journal_kind;

namespace {

external::fleet_list one_of_each() {
    return {.version = 7,
            .hosts = {{.name = core::host_id{"h1"},
                       .inner = {.address = "10.0.0.1", .port = 9000},
                       .data_centre = core::data_centre_id{"suva"}}},
            .workers = {{.name = core::worker_id{"w1"},
                         .address = {.address = "10.0.0.2", .port = 1, .path = "/workers/w1"},
                         .rack = core::rack_id{"r1"},
                         .capacity = {.millicores = 64000, .memory_mb = 1, .accelerators = 2},
                         .leaving = true}},
            .executors = {{.name = core::executor_id{"e1"},
                           .address = {.address = "10.0.0.3", .port = 2},
                           .service = core::service_id{"templates"},
                           .slots = 8,
                           .connections = 64}}};
}

} // namespace

TEST_CASE("the fleet list is decoded, and sent again only if it changed") {
    fleet_fixture fleet;
    external::http_fleet_client client{{.address = fleet.at()}};
    const auto service = client.hooks();
    fleet.role.put(external::encode_fleet(one_of_each()));
    const auto list = service.list(1s);
    CHECK(list.version == 7);
    CHECK(list.workers == one_of_each().workers);
    CHECK(list.executors == one_of_each().executors);
    REQUIRE(list.hosts.size() == 1);
    CHECK(list.hosts[0].inner.port == 9000);
    const std::uint64_t received = client.counters().bytes_received;
    CHECK(service.list(1s).workers == one_of_each().workers);
    CHECK(client.counters().bytes_received - received < 100);
}

TEST_CASE("a fleet list that lags, is invalid or is unavailable") {
    fleet_fixture fleet;
    external::http_fleet_client client{{.address = fleet.at()}};
    const auto service = client.hooks();
    fleet.role.put(R"({"version":1})");
    fleet.role.put("{}");
    CHECK(service.list(1s).version == 2);
    fleet.server.inject_fault({.kind = fault_kind::lag, .length = 1h});
    CHECK(service.list(1s).version == 0);
    fleet.faults.clear();
    CHECK(service.list(1s).version == 2);
    CHECK_THROWS_AS(fleet.role.put(R"({"workers":[{}]})"), core::invalid_argument);
    fleet.server.inject_fault({.kind = fault_kind::down});
    CHECK_THROWS_AS(service.list(1s), core::unavailable);
}

TEST_CASE("faults can be set and the journal read over HTTP") {
    log_fixture log;
    external::http_caller caller{{}};
    const auto call = [&](const char* method, const char* target, const std::string& body) {
        return caller.call(log.at(), {.method = method, .target = target, .body = body}, 1s);
    };
    CHECK(call("PUT", "/faults", R"({"fault":"refuse","match":"append","count":1})").status == 200);
    CHECK(call("GET", "/streams/a", "").status == 200);
    CHECK(call("POST", "/streams/a", "x").refused());
    CHECK(call("POST", "/streams/a", "x").status == 200);
    CHECK(call("PUT", "/faults", R"({"fault":"down","target":"a"})").status == 200);
    CHECK(call("POST", "/streams/a", "x").status == 0);
    CHECK(call("POST", "/streams/b", "x").status == 200);
    CHECK(call("DELETE", "/faults", "").status == 200);
    CHECK(call("POST", "/streams/a", "x").status == 200);
    CHECK(call("PUT", "/faults", R"({"fault":"flood"})").status == 400);
    const auto journal = call("GET", "/journal?from=1", "").body;
    CHECK(journal.find(R"("kind":"append")") != std::string::npos);
    CHECK(journal.find(R"("n":0)") == std::string::npos);
}

TEST_CASE("a worker stops its tasks itself when the hold time after lease expiry has passed") {
    stand_ins::journal log;
    const core::steady_time start{std::chrono::steady_clock::now()};
    stand_ins::simulated_worker worker{{.name = "w1", .capacity = {.millicores = 1000}, .task_hold = 10s},
                                       log};
    CHECK(worker.lease(R"({"holder":"h1","term_ms":1000})", start).status == 200);
    const std::string task =
        R"({"lease":1,"attempt":"t/k#0.1","millicores":1000,"payload":"{\"run_ms\":-1}"})";
    CHECK(worker.start(task, start + 1s, false).status == 409);
    CHECK(worker.start(task, start + 999ms, false).status == 200);
    worker.advance_to(start + 10'999ms);
    CHECK(log.count(journal_kind::end) == 0);
    worker.advance_to(start + 11s);
    CHECK(log.count(journal_kind::end) == 1);
    CHECK(log.entries().back().detail == "lost");
}

TEST_CASE("a task makes no progress while its worker is frozen, and half the progress when throttled") {
    stand_ins::journal log;
    const core::steady_time start{std::chrono::steady_clock::now()};
    stand_ins::simulated_worker worker{{.name = "w1", .capacity = {.millicores = 1000}}, log};
    CHECK(worker.lease(R"({"holder":"h1","term_ms":60000})", start).status == 200);
    CHECK(worker
              .start(R"({"lease":1,"attempt":"t/k#0.1","payload":"{\"run_ms\":1000,\"exit\":1}"})", start,
                     false)
              .status == 200);
    worker.freeze(start + 500ms, 1s);
    worker.advance_to(start + 1'600ms);
    CHECK(worker.act(R"({"lease":1,"attempt":"t/k#0.1","action":"throttle"})", start + 1'600ms).status ==
          200);
    worker.advance_to(start + 2'399ms);
    CHECK(log.count(journal_kind::end) == 0);
    worker.advance_to(start + 2'400ms);
    CHECK(log.count(journal_kind::end) == 1);
    CHECK(log.entries().back().detail == "failed");
}

TEST_CASE("an executor refuses requests above its slots and connections above its limit") {
    executors_fixture executors{{.names = {"e1"}, .slots = 1, .connections = 2}};
    external::http_caller caller{{}};
    const auto run = [&] {
        return caller.call(executors.at(),
                           {.method = "POST", .target = "/executors/e1/run", .body = R"({"run_ms":300})"},
                           1s);
    };
    std::vector<std::jthread> callers;
    callers.reserve(3);
    std::atomic<int> refused{0};
    for (int i = 0; i < 3; ++i) {
        callers.emplace_back([&] { refused += run().refused() ? 1 : 0; });
    }
    callers.clear();
    CHECK(refused == 2);
    CHECK(executors.log.count(journal_kind::violation) == 2);
    CHECK(executors.log.count(journal_kind::start) == 1);
}

TEST_CASE("a stand-in finishes the request in flight when it is stopped") {
    executors_fixture executors;
    external::http_caller caller{{}};
    external::http_answer answer;
    {
        std::jthread client{[&] {
            answer = caller.call(
                executors.at(),
                {.method = "POST", .target = "/executors/e1/run", .body = R"({"run_ms":300,"size":5})"}, 1s);
        }};
        std::this_thread::sleep_for(150ms);
        executors.server.stop();
    }
    CHECK(answer.status == 200);
    CHECK(answer.body == "\nxxxxx");
}
