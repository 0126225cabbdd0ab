#include "core/errors.h"
#include "platform/hold_decode.h"
#include "platform/job_decode.h"
#include "platform/wire_decode.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr const char* worker_body =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","born":7,
        "capacity":{"cpu":16000,"memMb":32768,"gpus":1},"labels":["a","r1-3"],"clockMs":4,"sequence":4})";

} // namespace

TEST_CASE("the registration entry of a worker is decoded") {
    const auto worker = platform::decode_worker({.key = "i-1", .value = worker_body});
    REQUIRE(worker);
    CHECK(worker->worker == core::worker_id{"i-1"});
    CHECK(worker->incarnation == dispatch::worker_incarnation_id{7});
    CHECK(worker->rack == core::rack_id{"r1-3"});
    CHECK(worker->capacity == core::resources{.millicores = 16000, .memory_mb = 32768, .accelerators = 1});
    CHECK_FALSE(worker->draining);
}

TEST_CASE("deletions and malformed entries yield no worker") {
    for (const auto* value : {"", "\xff\xfe", "[]", "{}", "7", R"({"service":1,"address":"10.0.0.9:8080"})",
                              R"({"service":"s","address":"10.0.0.9:1","state":"odd","capacity":{}})",
                              R"({"service":"s","address":"nowhere","state":"ready","capacity":{}})",
                              R"({"service":"s","address":"10.0.0.9:1","state":"ready","capacity":[]})"}) {
        CAPTURE(value);
        CHECK_FALSE(platform::decode_worker({.key = "i-1", .value = value}));
    }
}

TEST_CASE("a configuration is decoded only from a valid entry under the key config") {
    const std::string body =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":3000,"targetLatencyMs":300,
            "priority":1,"service":"s","maxAttempts":2,"stretch":1.5,
            "recommendation":{"decisionMs":26.0,"perWorkerMs":0.37,"validityMs":2500}}],
            "services":[{"name":"s","enforcesCapacity":true}],"limits":{"maxBodyBytes":1000}})";
    const auto version = platform::decode_configuration({.key = "config", .value = body});
    REQUIRE(version);
    CHECK(version->version == 7);
    CHECK(version->routes[0].policy.advice->time_per_worker == 370us);
    CHECK(version->services[0].enforces_capacity);
    CHECK_FALSE(platform::decode_configuration({.key = "wave/1", .value = body}));
    CHECK_FALSE(platform::decode_configuration({.key = "config", .value = "{"}));
}

TEST_CASE("the teams of a configuration are decoded with their keys, rates and caps") {
    const std::string body =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","service":"s","public":true}],
            "tenants":[{"name":"t","apiKeys":["k1","k2"],"weight":28,
                        "cap":{"cpu":1500,"memMb":2048,"gpus":0}}]})";
    const auto version = platform::decode_configuration({.key = "config", .value = body});
    REQUIRE(version);
    CHECK(version->routes.at(0).is_public);
    const tenancy::team_policy expected{.team = core::team_id{"t"},
                                        .keys = {tenancy::api_key{"k1"}, tenancy::api_key{"k2"}},
                                        .weight = 28,
                                        .jobs_per_second = 28,
                                        .cap = {.millicores = 1500, .memory_mb = 2048, .accelerators = 0}};
    CHECK(version->teams == std::vector{expected});
}

TEST_CASE("the fields of a job's steps are decoded") {
    const auto job = platform::decode_job(
        workflow::job_key{"a"}, workflow::queue_id{"q"},
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900,"affinity":"r1-3",
            "antiAffinity":2,"utilization":true},{"after":[0],"longRunning":true,"allowMiss":1,"targetMs":40}]})");
    CHECK(job.steps[0].tasks == 4);
    CHECK(job.steps[0].data_rack == core::rack_id{"r1-3"});
    CHECK(job.steps[0].most_per_worker == 2);
    CHECK(job.steps[0].uses_leftover);
    CHECK(job.steps[1].long_running);
    CHECK(job.steps[1].may_be_away == 1);
    CHECK(job.steps[1].latency_limit == 40ms);
    CHECK_FALSE(job.recurs);
}

TEST_CASE("invalid job bodies are refused") {
    for (const auto* body :
         {"", "{", "[]", "{}", R"({"spec":"x"})", R"({"spec":"x","steps":[]})", R"({"spec":7,"steps":[{}]})",
          R"({"spec":"x","steps":[{"count":-1}]})", R"({"spec":"x","steps":[{"count":0}]})",
          R"({"spec":"x","steps":[{"after":[0]}]})"}) {
        CAPTURE(body);
        CHECK_THROWS_AS(platform::decode_job(workflow::job_key{"a"}, workflow::queue_id{"q"}, body),
                        core::invalid_argument);
    }
}

TEST_CASE("the reply to a hold order is decoded") {
    const auto reply = platform::decode_hold(
        R"({"clockMs":482113,"born":9,"running":[["5c0e.0.1.17",2,"0b",41,7.5]],"finished":[[58,"5c0e.0.1.9",1,"done",""]]})");
    CHECK(reply.answered);
    CHECK(reply.incarnation == dispatch::worker_incarnation_id{9});
    CHECK(reply.running[0].run.text() == "5c0e.0.1.17#2");
    CHECK(reply.running[0].percent == 41);
    CHECK(reply.ended[0].number == 58);
    CHECK(reply.ended[0].outcome == dispatch::run_outcome::done);
    CHECK_THROWS_AS(platform::decode_hold("{}"), core::invalid_argument);
}

// TWICE: a reply with as many ends as the platform lists at a time may leave out others.
TEST_CASE("a reply with 500 ended runs may leave out others, one with fewer does not") {
    const auto reply_with = [](int ends) {
        std::string rows;
        for (int i = 1; i <= ends; i++) {
            rows += (i == 1 ? "[" : ",[") + std::to_string(i) + R"(,"j.0.0.0",1,"done",""])";
        }
        return platform::decode_hold(R"({"clockMs":5,"running":[],"finished":[)" + rows + "]}");
    };
    CHECK(reply_with(0).lists_all_ends);
    CHECK(reply_with(499).lists_all_ends);
    CHECK_FALSE(reply_with(500).lists_all_ends);
}

TEST_CASE("the reply to a hold order may have unknown fields and columns, and null for an empty list") {
    const auto reply = platform::decode_hold(
        R"({"running":null,"more":{"running":[[1]],"a":[[2,[3]]]},"finished":[[1,"j.0.0.0",1,"done","",{"a":[1]},7]],"clockMs":5})");
    CHECK(reply.running.empty());
    REQUIRE(reply.ended.size() == 1);
    CHECK(reply.ended[0].run.text() == "j.0.0.0#1");
    CHECK(!reply.incarnation);
}

TEST_CASE("the reply to a hold order is refused if a part has another type or is missing") {
    const std::string text = GENERATE(
        R"([])", R"("a")", R"({"clockMs":1,"running":[]})", R"({"running":[],"finished":[]})",
        R"({"clockMs":"1","running":[],"finished":[]})", R"({"clockMs":1,"running":{},"finished":[]})",
        R"({"clockMs":1,"running":5,"finished":[]})", R"({"clockMs":1,"running":[5],"finished":[]})",
        R"({"clockMs":1,"running":[{}],"finished":[]})", R"({"clockMs":1,"running":[[]],"finished":[]})",
        R"({"clockMs":1,"running":[["j.0.0.0",1,[],5]],"finished":[]})",
        R"({"clockMs":1,"running":[["j.0.0.0",-1,"",5]],"finished":[]})",
        R"({"clockMs":1,"running":[],"finished":[[1,"j.0.0.0",1,"odd",""]]})",
        R"({"clockMs":1,"running":[],"finished":[[1,"j",1,"done",""]]})",
        R"({"clockMs":[1],"running":[],"finished":[]})", R"({"clockMs":1,"running":[],"finished":[)");
    CAPTURE(text);
    CHECK_THROWS_AS(platform::decode_hold(text), core::invalid_argument);
}

TEST_CASE("replies to orders are decoded into distinct results") {
    using dispatch::order_outcome;
    CHECK(platform::decode_order_reply(200, R"({"clockMs":1})").outcome == order_outcome::done);
    CHECK(platform::decode_order_reply(200, R"({"clockMs":482113})").clock == dispatch::worker_time{482113});
    CHECK(platform::decode_order_reply(409, R"({"clockMs":7,"reason":"old"})").clock ==
          dispatch::worker_time{7});
    CHECK_FALSE(platform::decode_order_reply(200, R"({"clockMs":"7"})").clock);
    CHECK_FALSE(platform::decode_order_reply(503, "").clock);
    CHECK(platform::decode_order_reply(409, R"({"reason":"fence"})").outcome == order_outcome::fenced);
    CHECK(platform::decode_order_reply(409, R"({"reason":"old"})").outcome == order_outcome::superseded);
    CHECK(platform::decode_order_reply(409, R"({"reason":"late"})").outcome == order_outcome::too_late);
    CHECK(platform::decode_order_reply(409, R"({"reason":"room"})").outcome == order_outcome::no_room);
    CHECK(platform::decode_order_reply(409, R"({"reason":"ticket"})").outcome ==
          order_outcome::ticket_rejected);
    CHECK(platform::decode_order_reply(421, "").outcome == order_outcome::other_incarnation);
    CHECK(platform::decode_order_reply(503, "").outcome == order_outcome::unhealthy);
    CHECK(platform::decode_order_reply(500, "").outcome == order_outcome::unknown);
}

} // namespace rattanmount::tests
