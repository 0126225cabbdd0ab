#include "tests/external/stand_in_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace platform_test;
using external::call_verdict;
using stand_ins::fault_kind;
using stand_ins::journal_kind;

namespace {

struct executors_with_client : executors_fixture {
    explicit executors_with_client(external::http_executor_client_options options = {})
        : client(options), service(this->client.hooks()) {}

    [[nodiscard]] external::executor_reply call(const std::string& key, const std::string& body,
                                                core::milliseconds limit = 1s) const {
        return this->service.call({.executor = core::executor_id{"e1"},
                                   .address = this->at("/executors/e1"),
                                   .correlation = key + "#1",
                                   .id = {.team = core::team_id{"tabua"}, .key = core::request_key{key}},
                                   .body = body,
                                   .limit = limit});
    }

    external::http_executor_client client;
    external::executor_service service;
};

/// @return the highest number of concurrently open connections in the server's journal.
std::size_t peak_connections(const stand_ins::journal& log) {
    std::size_t open = 0;
    std::size_t peak = 0;
    for (const auto& entry : log.entries()) {
        if (entry.kind == journal_kind::connection_opened) {
            peak = std::max(peak, ++open);
        } else if (entry.kind == journal_kind::connection_closed) {
            --open;
        }
    }
    return peak;
}

} // namespace

TEST_CASE("an answer is complete and belongs to its request") {
    const executors_with_client executors;
    const auto reply = executors.call("a b/c", R"({"run_ms":1,"size":100000})");
    CHECK(reply.verdict == call_verdict::answered);
    CHECK(reply.body == "tabua/a b/c\n" + std::string(100000, 'x'));
}

TEST_CASE("answers of other calls and truncated answers are never returned") {
    executors_with_client executors;
    REQUIRE(executors.call("first", R"({"run_ms":0})").verdict == call_verdict::answered);
    for (const auto kind : {fault_kind::crossed_answer, fault_kind::short_answer}) {
        executors.server.inject_fault({.kind = kind, .count = 1});
        const auto reply = executors.call("a", R"({"run_ms":0,"size":10})");
        CHECK(reply.verdict == call_verdict::broken);
        CHECK(reply.body.empty());
        CHECK(executors.call("b", R"({"run_ms":0})").body == "tabua/b\n");
    }
}

TEST_CASE("a call on a reused connection that breaks is not resent") {
    executors_with_client executors;
    REQUIRE(executors.call("first", R"({"run_ms":0})").verdict == call_verdict::answered);
    executors.server.inject_fault({.kind = fault_kind::effect_without_answer, .count = 1});
    CHECK(executors.call("bill", R"({"run_ms":0})").verdict == call_verdict::broken);
    const auto entries = executors.log.entries();
    CHECK(std::count_if(entries.begin(), entries.end(), [](const auto& entry) {
              return entry.kind == journal_kind::start && entry.id == "tabua/bill";
          }) == 1);
}

TEST_CASE("the verdict states whether the executor may have run the request") {
    executors_with_client executors;
    SECTION("no server at the address") {
        const auto reply = executors.service.call(
            {.address = unused_endpoint(), .correlation = "c", .body = "x", .limit = 1s});
        CHECK(reply.verdict == call_verdict::not_sent);
    }
    SECTION("refused") {
        executors.server.inject_fault({.kind = fault_kind::refuse});
        CHECK(executors.call("a", "x").verdict == call_verdict::refused);
        CHECK(executors.log.count(journal_kind::start) == 0);
    }
    SECTION("failed") {
        CHECK(executors.call("a", R"({"run_ms":0,"fail":true})").verdict == call_verdict::failed);
    }
    SECTION("an error answer that belongs to another call") {
        executors.server.inject_fault({.kind = fault_kind::refuse, .count = 1});
        executors.server.inject_fault({.kind = fault_kind::crossed_answer});
        CHECK(executors.call("a", "x").verdict == call_verdict::refused);
        CHECK(executors.call("a", R"({"run_ms":0,"fail":true})").verdict == call_verdict::broken);
    }
    SECTION("too slow") {
        executors.server.inject_fault({.kind = fault_kind::freeze, .length = 2s});
        call_verdict verdict = call_verdict::answered;
        CHECK(measure_duration([&] { verdict = executors.call("a", "x", 50ms).verdict; }) < 1s);
        CHECK(verdict == call_verdict::timed_out);
    }
}

TEST_CASE("an executor never sees more connections than the client's limit") {
    executors_with_client executors{{.max_connections_per_executor = 3, .max_wait = 10ms}};
    std::atomic<int> answered{0};
    std::atomic<int> not_sent{0};
    {
        std::vector<std::jthread> callers;
        callers.reserve(12);
        for (int i = 0; i < 12; ++i) {
            callers.emplace_back([&, i] {
                const auto verdict = executors.call(std::to_string(i), R"({"run_ms":150})").verdict;
                answered += verdict == call_verdict::answered ? 1 : 0;
                not_sent += verdict == call_verdict::not_sent ? 1 : 0;
            });
        }
    }
    CHECK(answered >= 3);
    CHECK(not_sent > 0);
    CHECK(answered + not_sent == 12);
    CHECK(peak_connections(executors.log) == 3);
    CHECK(executors.log.count(journal_kind::violation) == 0);
}

TEST_CASE("a connection closed after a timeout keeps counting until the executor must have closed it too") {
    executors_with_client executors{{.max_connections_per_executor = 2, .linger = 400ms, .max_wait = 10ms}};
    executors.server.inject_fault({.kind = fault_kind::freeze, .length = 150ms});
    CHECK(executors.call("a", "x", 30ms).verdict == call_verdict::timed_out);
    CHECK(executors.call("b", "x", 30ms).verdict == call_verdict::timed_out);
    CHECK(executors.client.connections_to(executors.at("/executors/e1")) == 2);
    CHECK(executors.call("c", "x", 30ms).verdict == call_verdict::not_sent);
    std::this_thread::sleep_for(450ms);
    CHECK(executors.call("d", R"({"run_ms":0})").verdict == call_verdict::answered);
    CHECK(peak_connections(executors.log) <= 2);
}

TEST_CASE("the request carries the remaining time to the executor") {
    executors_with_client executors;
    CHECK(executors.call("a", R"({"run_ms":5000})", 40ms).verdict != call_verdict::answered);
    executors.server.stop();
    CHECK(executors.log.count(journal_kind::abandoned) == 1);
}

TEST_CASE("idle connections are closed after the idle limit") {
    executors_with_client executors{{.idle_limit = 20ms, .close_time = 0ms}};
    REQUIRE(executors.call("a", R"({"run_ms":0})").verdict == call_verdict::answered);
    CHECK(executors.client.connections_to(executors.at("/executors/e1")) == 1);
    std::this_thread::sleep_for(300ms);
    CHECK(executors.client.connections_to(executors.at("/executors/e1")) == 0);
    CHECK(executors.log.count(journal_kind::connection_closed) == 1);
}

TEST_CASE("a connection that exceeds the idle limit is not reused, even before it is closed") {
    executors_with_client executors{{.idle_limit = 200ms, .close_time = 0ms}};
    std::this_thread::sleep_for(150ms);
    REQUIRE(executors.call("a", R"({"run_ms":0})").verdict == call_verdict::answered);
    std::this_thread::sleep_for(225ms);
    REQUIRE(executors.call("b", R"({"run_ms":0})").verdict == call_verdict::answered);
    CHECK(executors.log.count(journal_kind::connection_opened) == 2);
}

TEST_CASE("after a timeout on one stalled connection the next call to the executor succeeds") {
    executors_with_client executors{{.max_connections_per_executor = 8, .max_idle_per_executor = 8}};
    const auto call_all = [&executors] {
        std::vector<std::jthread> callers;
        callers.reserve(8);
        for (int i = 0; i < 8; ++i) {
            callers.emplace_back([&executors, i] {
                static_cast<void>(executors.call(std::to_string(i), R"({"run_ms":30})"));
            });
        }
    };
    call_all();
    executors.server.inject_fault({.kind = fault_kind::silent_connections});
    CHECK(executors.call("a", R"({"run_ms":0})", 50ms).verdict == call_verdict::timed_out);
    CHECK(executors.call("b", R"({"run_ms":0})").verdict == call_verdict::answered);
    CHECK(executors.client.connections_to(executors.at("/executors/e1")) <= 8);
}
