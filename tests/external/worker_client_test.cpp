#include "tests/external/stand_in_fixture.h"

#include <catch2/catch.hpp>

using namespace platform_test;
using external::lease_verdict;
using external::start_verdict;
using stand_ins::fault_kind;
using stand_ins::journal_kind;

namespace {

const core::incarnation_id holder{"h1-a"};
const core::incarnation_id other_holder{"h2-b"};
constexpr core::resources small{.millicores = 1000, .memory_mb = 1024};

core::attempt_id attempt_of(std::uint32_t task) {
    return {.job = {.team = core::team_id{"tabua"}, .key = core::request_key{"sheets \"1\""}},
            .task = task,
            .attempt = 1};
}

struct worker_with_client : workers_fixture {
    [[nodiscard]] external::lease_reply lease(const core::incarnation_id& who,
                                              core::lease_id renew = core::lease_id{},
                                              core::milliseconds term = 1s) const {
        return this->service.lease(this->worker, {.holder = who, .renew = renew, .term = term}, 1s);
    }

    [[nodiscard]] external::start_reply start(core::lease_id lease, std::uint32_t task,
                                              const std::string& payload = R"({"run_ms":5000})",
                                              const core::resources& each = small) const {
        return this->service.start(this->worker, lease, attempt_of(task), each, payload, 1s);
    }

    core::endpoint worker = this->at("/workers/w1");
    external::http_worker_client client{{}};
    external::worker_service service = this->client.hooks();
};

} // namespace

TEST_CASE("a lease excludes another holder until it expires, and the next holder gets the inventory") {
    const worker_with_client worker;
    const auto first = worker.lease(holder, {}, 300ms);
    REQUIRE(first.verdict == lease_verdict::granted);
    CHECK(worker.start(first.lease, 0).verdict == start_verdict::started);
    const auto held = worker.lease(other_holder);
    CHECK(held.verdict == lease_verdict::held);
    CHECK(held.remaining > 0ms);
    CHECK(held.remaining <= 300ms);
    std::this_thread::sleep_for(held.remaining);
    const auto second = worker.lease(other_holder);
    REQUIRE(second.verdict == lease_verdict::granted);
    CHECK(second.lease > first.lease);
    REQUIRE(second.inventory.size() == 1);
    CHECK(second.inventory[0].attempt == attempt_of(0));
    CHECK(second.inventory[0].each == small);
    CHECK_FALSE(second.inventory[0].end.has_value());
    CHECK(worker.start(first.lease, 1).verdict == start_verdict::refused);
}

TEST_CASE("a start whose answer is lost ends as unknown, and the inventory shows that it started") {
    worker_with_client worker;
    const auto lease = worker.lease(holder).lease;
    worker.server.inject_fault({.kind = fault_kind::effect_without_answer, .match = "start", .count = 1});
    CHECK(worker.start(lease, 0).verdict == start_verdict::unknown);
    CHECK(worker.lease(holder, lease).inventory.size() == 1);
    CHECK(worker.start(lease, 0).verdict == start_verdict::started);
    CHECK(worker.log.count(journal_kind::start) == 1);
}

TEST_CASE("a lease request whose answer is lost, truncated or belongs to another call ends as unreachable") {
    worker_with_client worker;
    for (const auto kind :
         {fault_kind::effect_without_answer, fault_kind::crossed_answer, fault_kind::short_answer}) {
        worker.server.inject_fault({.kind = kind, .match = "lease", .count = 1});
        CHECK(worker.lease(holder).verdict == lease_verdict::unreachable);
    }
    const auto last = worker.lease(holder);
    CHECK(last.verdict == lease_verdict::granted);
    CHECK(last.lease == core::lease_id{4});
}

TEST_CASE("a refused start did not start a task") {
    worker_with_client worker;
    const auto lease = worker.lease(holder).lease;
    SECTION("no free capacity") {
        CHECK(worker.start(lease, 0, "", {.millicores = 4001}).verdict == start_verdict::refused);
        CHECK(worker.log.count(journal_kind::violation) == 1);
    }
    SECTION("worker fault") {
        worker.server.inject_fault({.kind = fault_kind::fail_starts});
        CHECK(worker.start(lease, 0).verdict == start_verdict::refused);
    }
    SECTION("a payload that cannot be encoded") {
        CHECK(worker.start(lease, 0, "\xff").verdict == start_verdict::refused);
    }
    SECTION("a name that cannot be encoded") {
        const core::attempt_id attempt{.job = {.team = core::team_id{"\xff"}}};
        const auto stop = external::attempt_action::stop;
        CHECK(worker.service.act(worker.worker, lease, attempt, stop, 1s).verdict == start_verdict::refused);
        CHECK(worker.service.lease(worker.worker, {.holder = holder, .forget = {attempt}}, 1s).verdict ==
              lease_verdict::unreachable);
    }
    SECTION("no server at the address") {
        const auto reply = worker.service.start(unused_endpoint(), lease, attempt_of(0), small, "", 1s);
        CHECK(reply.verdict == start_verdict::refused);
    }
    CHECK(worker.log.count(journal_kind::start) == 0);
}

TEST_CASE("tasks are stopped, checkpointed and forgotten") {
    const worker_with_client worker;
    const auto lease = worker.lease(holder).lease;
    REQUIRE(worker.start(lease, 0).verdict == start_verdict::started);
    const auto act = [&](external::attempt_action action) {
        return worker.service.act(worker.worker, lease, attempt_of(0), action, 1s).verdict;
    };
    CHECK(act(external::attempt_action::checkpoint) == start_verdict::started);
    CHECK(act(external::attempt_action::throttle) == start_verdict::started);
    CHECK(act(external::attempt_action::stop) == start_verdict::started);
    const auto ended = worker.lease(holder, lease).inventory;
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].checkpointed);
    CHECK(ended[0].end == core::attempt_end::stopped);
    CHECK(ended[0].used == small);
    const external::lease_request forget{
        .holder = holder, .renew = lease, .term = 1s, .forget = {attempt_of(0)}};
    CHECK(worker.service.lease(worker.worker, forget, 1s).inventory.empty());
}

TEST_CASE("a lease renewal transfers few bytes") {
    const worker_with_client worker;
    const auto lease = worker.lease(holder).lease;
    const std::uint64_t sent = worker.client.counters().bytes_sent;
    const std::uint64_t received = worker.client.counters().bytes_received;
    CHECK(worker.lease(holder, lease).verdict == lease_verdict::granted);
    CHECK(worker.client.counters().bytes_sent - sent < 180);
    CHECK(worker.client.counters().bytes_received - received < 100);
}
