#include "dispatch/leader_authority.h"
#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using dispatch::leader_authority;
using dispatch::worker_state;

const core::steady_time start{std::chrono::hours{1}};

std::map<core::worker_id, worker_state> workers_answered_at(const std::vector<core::milliseconds>& times) {
    std::map<core::worker_id, worker_state> workers;
    for (const auto time : times) {
        const core::worker_id name{"w" + std::to_string(workers.size())};
        workers[name] = {.proven = {.knows_token = time >= 0ms}, .answered_hold_sent_at = start + time};
    }
    return workers;
}

workflow::job_request job_of(const std::string& key, std::uint32_t tasks, bool long_running) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
    step.estimate = 3s;
    step.long_running = long_running;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 2};
}

} // namespace

TEST_CASE("a proof of leadership counts from the time at which it was asked for") {
    leader_authority authority{{}};
    authority.begin({}, start);
    authority.confirm_by_log(start);
    authority.confirm_by_log(start + 1s);
    CHECK(authority.is_proven(start + 2499ms));
    CHECK_FALSE(authority.is_proven(start + 2500ms));
    authority.confirm_by_log(start + 500ms);
    CHECK_FALSE(authority.is_proven(start + 2500ms));
}

TEST_CASE("while the log does not answer, answers of more than half of the workers prove leadership") {
    leader_authority authority{{}};
    authority.begin({}, start);
    authority.confirm_by_log(start);
    authority.count_answers(workers_answered_at({3s, 3s, 1s, 1s}), start + 3s);
    CHECK_FALSE(authority.is_proven(start + 3s));
    authority.count_answers(workers_answered_at({3s, 3s, 3s, 1s}), start + 4s);
    CHECK(authority.is_proven(start + 4s));
    CHECK_FALSE(authority.is_proven(start + 4500ms));
}

TEST_CASE("a leader stops when the log has not answered for the longest outage") {
    leader_authority authority{{}};
    authority.begin({}, start);
    authority.confirm_by_log(start);
    authority.count_answers(workers_answered_at({8900ms, 8900ms, 8900ms}), start + 8950ms);
    CHECK(authority.is_proven(start + 8999ms));
    CHECK_FALSE(authority.is_proven(start + 9s));
}

TEST_CASE("inherited leases expire earlier once most workers know the fencing token") {
    leader_authority authority{{}};
    authority.begin({}, start);
    authority.confirm_by_log(start);
    authority.count_answers(workers_answered_at({0s, 0s, -1ms, -1ms}), start + 100ms);
    const auto before = authority.inherited_leases_expire_at();
    authority.count_answers(workers_answered_at({0s, 0s, 0s, -1ms}), start + 200ms);
    const auto after = authority.inherited_leases_expire_at();
    CHECK(before >= start + 9s + 4s);
    CHECK(after >= start + 200ms + 1500ms + 4s);
    CHECK(after < start + 7s);
}

// LOST: a token that became known late revived leases that had expired, and tasks waited once more.
TEST_CASE("inherited leases that have expired stay expired") {
    leader_authority authority{{}};
    authority.begin({}, start);
    const auto latest = authority.inherited_leases_expire_at();
    authority.count_answers(workers_answered_at({20s, 20s, 20s}), start + 20s);
    CHECK(authority.inherited_leases_expire_at() == latest);
}

// LOST: workers that the platform lists but that no leader ever reached counted as workers that must answer.
TEST_CASE("only workers of the roster count for the fencing of a former leader") {
    leader_authority authority{{}};
    authority.begin({core::worker_id{"w0"}, core::worker_id{"w1"}}, start);
    authority.count_answers(workers_answered_at({0s, 0s, -1ms, -1ms, -1ms}), start + 100ms);
    CHECK(authority.inherited_leases_expire_at() < start + 7s);
}

// A worker that has listed a part of its ends refuses the orders of a former leader as any other does.
TEST_CASE("workers with an incomplete inventory count for the fencing of a former leader") {
    leader_authority authority{{}};
    authority.begin({core::worker_id{"w0"}, core::worker_id{"w1"}}, start);
    auto workers = workers_answered_at({0s, 0s});
    REQUIRE_FALSE(workers.begin()->second.proven.inventory_complete);
    authority.count_answers(workers, start + 100ms);
    CHECK(authority.inherited_leases_expire_at() < start + 7s);
}

// TWICE: a former leader that the log does not reach any more extends leases that its successor takes for
// expired.
TEST_CASE("a cut-off leader and a successor that reaches fewer workers run no task twice") {
    constexpr std::uint32_t workers = 10;
    const auto hidden = GENERATE(1U, 2U, 4U, 5U, 7U);
    const auto cut_after = GENERATE(300ms, 1100ms, 2900ms);
    CAPTURE(hidden, cut_after.count());
    simulated_cell cell{{.workers = workers, .capacity = {.millicores = 4000, .memory_mb = 64000}}};
    for (int i = 0; i < 4; i++) {
        cell.submit(job_of("long" + std::to_string(i), 3, true), plain_queue());
        cell.submit(job_of("short" + std::to_string(i), 8, false), plain_queue());
    }
    cell.run_for(cut_after);
    cell.cut_off_leader();
    for (std::uint32_t i = 0; i < hidden; i++) {
        cell.disconnect_from_leader(i);
    }
    cell.submit(job_of("late", 4, false), plain_queue());
    cell.run_for(30s);
    CHECK(cell.phase_of("late") == workflow::job_phase::completed);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

TEST_CASE("runs survive an outage of the log that most workers outlive") {
    simulated_cell cell{{.workers = 4}};
    cell.submit(job_of("a", 8, true), plain_queue());
    cell.run_for(1s);
    cell.set_log_down(true);
    cell.run_for(10s);
    cell.set_log_down(false);
    cell.run_for(1s);
    CHECK(cell.running_of("a") == 8);
    CHECK(cell.started_runs() == 8);
}

TEST_CASE("a leader that neither the log nor most workers confirm starts nothing and lets leases expire") {
    simulated_cell cell{{.workers = 4}};
    cell.submit(job_of("a", 8, true), plain_queue());
    cell.run_for(1s);
    cell.set_log_down(true);
    for (std::uint32_t i = 1; i < 4; i++) {
        cell.set_disconnected(i, true);
    }
    cell.run_for(2s);
    const auto started = cell.started_runs();
    cell.submit(job_of("b", 1, false), plain_queue());
    cell.run_for(5s);
    CHECK(cell.started_runs() == started);
    CHECK(cell.running_of("a") == 0);
}

} // namespace rattanmount::tests
