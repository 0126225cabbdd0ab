#include "tests/external/scripted_server.h"
#include "tests/external/stand_in_fixture.h"

#include <catch2/catch.hpp>

using namespace platform_test;
using external::append_outcome;
using stand_ins::fault_kind;
using stand_ins::journal_kind;

namespace {

const core::stream_id orders{"orders/1 of 2"};
constexpr std::size_t max_bytes = 1U << 20U;

struct log_with_client : log_fixture {
    external::http_log_client client{{.address = this->at()}};
    external::log_service service = this->client.hooks();
};

} // namespace

TEST_CASE("entries are read back in order and unchanged") {
    log_with_client log;
    const std::string bytes{"\0\xff\r\n{", 5};
    CHECK(log.service.append(orders, bytes, 1s).offset == core::log_offset{0});
    CHECK(log.service.append(orders, "", 1s).offset == core::log_offset{1});
    const auto all = log.service.read(orders, core::log_offset{0}, max_bytes, 1s);
    REQUIRE(all.available);
    REQUIRE(all.entries.size() == 2);
    CHECK(all.entries[0].bytes == bytes);
    CHECK(all.entries[1].bytes.empty());
    CHECK(all.next == core::log_offset{2});
    CHECK(log.service.read(orders, core::log_offset{0}, 1, 1s).entries.size() == 1);
    CHECK(log.service.read(orders, core::log_offset{9}, max_bytes, 1s).entries.empty());
}

TEST_CASE("an append whose answer is lost ends as unknown and is stored once") {
    log_with_client log;
    log.service.append(orders, "a", 1s);
    log.server.inject_fault({.kind = fault_kind::effect_without_answer, .match = "append", .count = 1});
    CHECK(log.service.append(orders, "b", 1s).outcome == append_outcome::unknown);
    CHECK(log.service.read(orders, core::log_offset{0}, max_bytes, 1s).entries.size() == 2);
    CHECK(log.log.count(journal_kind::append) == 2);
}

TEST_CASE("an append ends as not stored only if that is certain") {
    log_with_client log;
    SECTION("no server at the address") {
        external::http_log_client client{{.address = unused_endpoint()}};
        CHECK(client.hooks().append(orders, "a", 1s).outcome == append_outcome::not_stored);
    }
    SECTION("the service refuses") {
        log.server.inject_fault({.kind = fault_kind::refuse});
        CHECK(log.service.append(orders, "a", 1s).outcome == append_outcome::not_stored);
    }
    SECTION("the connection is closed without an answer") {
        log.server.inject_fault({.kind = fault_kind::down});
        CHECK(log.service.append(orders, "a", 1s).outcome == append_outcome::unknown);
    }
    SECTION("the answer belongs to another call") {
        log.server.inject_fault({.kind = fault_kind::crossed_answer});
        CHECK(log.service.append(orders, "a", 1s).outcome == append_outcome::unknown);
    }
    SECTION("the answer is truncated") {
        log.server.inject_fault({.kind = fault_kind::short_answer});
        CHECK(log.service.append(orders, "a", 1s).outcome == append_outcome::unknown);
    }
}

TEST_CASE("an append with an inconclusive answer ends as unknown") {
    const auto* const status = GENERATE("503 Service Unavailable", "500 Internal Server Error", "200 OK");
    const auto* const body = GENERATE("{}", "[]", "", R"({"offset":-1})", R"({"effect":"maybe"})");
    const scripted_server server{scripted_server::answer(status, body)};
    external::http_log_client client{{.address = server.at()}};
    CHECK(client.hooks().append(orders, "a", 1s).outcome == append_outcome::unknown);
}

TEST_CASE("a read with gaps or invalid content returns no entries") {
    const auto* const body =
        GENERATE(R"({"first":0,"next":3,"entries":[{"offset":0,"data":""},{"offset":2,"data":""}]})",
                 R"({"first":0,"next":1,"entries":[{"offset":0,"data":""},{"offset":1,"data":""}]})",
                 R"({"first":0,"next":3,"entries":[{"offset":1,"data":""}]})",
                 R"({"first":0,"next":1,"entries":[{"offset":0,"data":"?"}]})",
                 R"({"first":3,"next":1,"entries":[]})", R"({"entries":[]})");
    const scripted_server server{scripted_server::answer("200 OK", body)};
    external::http_log_client client{{.address = server.at()}};
    const auto reply = client.hooks().read(orders, core::log_offset{0}, max_bytes, 1s);
    CHECK_FALSE(reply.available);
    CHECK(reply.entries.empty());
}

TEST_CASE("an append that is stored after its timeout ends as unknown") {
    log_with_client log;
    log.server.inject_fault({.kind = fault_kind::slow, .count = 1, .length = 2s});
    external::append_reply reply;
    CHECK(measure_duration([&] { reply = log.service.append(orders, "a", 50ms); }) < 1s);
    CHECK(reply.outcome == append_outcome::unknown);
    log.server.stop();
    CHECK(log.log.count(journal_kind::append) == 1);
}

TEST_CASE("a read whose answer is truncated, refused, lost or belongs to another call is not available") {
    log_with_client log;
    log.service.append(orders, "a", 1s);
    for (const auto kind : {fault_kind::short_answer, fault_kind::crossed_answer, fault_kind::refuse,
                            fault_kind::down, fault_kind::effect_without_answer}) {
        log.server.inject_fault({.kind = kind, .match = "read", .count = 1});
        const auto reply = log.service.read(orders, core::log_offset{0}, max_bytes, 1s);
        CHECK_FALSE(reply.available);
        CHECK(reply.entries.empty());
        CHECK_FALSE(reply.reason.empty());
    }
    CHECK(log.service.read(orders, core::log_offset{0}, max_bytes, 1s).available);
}

TEST_CASE("a read below the oldest retained entry starts at that entry") {
    log_with_client log;
    for (const auto* const bytes : {"a", "b", "c"}) {
        log.service.append(orders, bytes, 1s);
    }
    log.server.inject_fault({.kind = fault_kind::expire, .offset = 2});
    const auto reply = log.service.read(orders, core::log_offset{0}, max_bytes, 1s);
    CHECK(reply.first == core::log_offset{2});
    REQUIRE(reply.entries.size() == 1);
    CHECK(reply.entries[0].bytes == "c");
}

TEST_CASE("after a timeout on one stalled connection the other idle connections are not reused") {
    log_with_client log;
    std::vector<std::jthread> readers;
    readers.reserve(4);
    log.server.inject_fault({.kind = fault_kind::slow, .length = 30ms});
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&log] { log.service.read(orders, core::log_offset{0}, max_bytes, 1s); });
    }
    readers.clear();
    REQUIRE(log.log.count(journal_kind::connection_opened) == 4);
    log.faults.clear();
    log.server.inject_fault({.kind = fault_kind::silent_connections});
    CHECK(log.service.append(orders, "a", 50ms).outcome == append_outcome::unknown);
    CHECK(log.service.append(orders, "b", 1s).outcome == append_outcome::stored);
    CHECK(log.log.count(journal_kind::append) == 1);
}
