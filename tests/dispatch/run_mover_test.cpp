#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

/// Least time between a worker's announcement that it leaves and its departure.
constexpr core::milliseconds notice{2000};
/// Lease on a worker whose clock is 2% slow, with the margins for stops and the last hold.
constexpr core::milliseconds longest_lease_wait{6000};

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 2};
}

workflow::job_request long_running_job(const std::string& key, std::uint32_t tasks,
                                       std::int64_t millicores = 1000) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = millicores, .memory_mb = millicores, .accelerators = 0};
    step.long_running = true;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

std::vector<std::uint32_t> used_workers(const simulated_cell& cell, std::uint32_t workers) {
    std::vector<std::uint32_t> used;
    for (std::uint32_t i = 0; i < workers; i++) {
        if (cell.running_on(i) > 0) {
            used.push_back(i);
        }
    }
    return used;
}

/// The connections of a worker close and its entry disappears; whether it is cut off or gone cannot be seen.
void vanish(simulated_cell& cell, std::uint32_t worker) {
    cell.set_disconnected(worker, true);
    cell.set_listed(worker, false);
}

} // namespace

// LOST: in a cell of the size to design for, the tasks of all leaving workers have to be moved within the
// notice.
TEST_CASE("the long-running tasks of 80 of 800 workers are moved within the notice of departure") {
    constexpr std::uint32_t workers = 800;
    constexpr std::uint32_t leaving = 80;
    constexpr std::uint32_t jobs = 100;
    constexpr std::uint32_t tasks = 8;
    simulated_cell cell{{.workers = workers}};
    for (std::uint32_t i = 0; i < jobs; i++) {
        cell.submit(long_running_job("a" + std::to_string(i), tasks, 4000), plain_queue());
    }
    cell.run_for(2s);
    auto used = used_workers(cell, workers);
    REQUIRE(used.size() >= leaving);
    used.resize(leaving);
    for (const auto worker : used) {
        cell.drain_worker(worker, notice);
    }
    cell.run_for(notice);
    std::size_t left = 0;
    std::size_t running = 0;
    for (const auto worker : used) {
        left += cell.running_on(worker);
    }
    for (std::uint32_t i = 0; i < jobs; i++) {
        running += cell.running_of("a" + std::to_string(i));
    }
    CHECK(left == 0);
    CHECK(running == std::size_t{jobs} * tasks);
    CHECK(cell.violations().empty());
}

// TWICE and LOST: the successor does not know which tasks its predecessor was moving.
TEST_CASE("a leader change in the middle of a move neither loses nor doubles a task") {
    for (auto after = 0ms; after < 400ms; after += 10ms) {
        CAPTURE(after.count());
        simulated_cell cell{{.workers = 4}};
        cell.submit(long_running_job("a", 6), plain_queue());
        cell.run_for(1s);
        const auto worker = used_workers(cell, 4).front();
        cell.drain_worker(worker, notice);
        cell.run_for(after);
        cell.change_leader();
        cell.run_for(notice - after);
        CHECK(cell.running_on(worker) == 0);
        CHECK(cell.running_of("a") == 6);
        CHECK(cell.violations().empty());
    }
}

// TWICE: a stop without an answer proves nothing; and its place must not stay reserved.
TEST_CASE("a move whose stop gets no answer waits for the end of the run and frees the place kept for it") {
    simulated_cell cell{{.workers = 3}};
    cell.submit(long_running_job("a", 6), plain_queue());
    cell.run_for(1s);
    const auto worker = used_workers(cell, 3).front();
    cell.set_disconnected(worker, true);
    cell.drain_worker(worker, notice);
    cell.run_for(1500ms);
    CHECK(cell.started_runs() == 6);
    cell.submit(long_running_job("filler", 32), plain_queue()); // All that the other two workers have.
    cell.run_for(100ms);
    CHECK(cell.running_of("filler") == 32);
    cell.run_for(longest_lease_wait);
    CHECK(cell.running_of("a") == 0);
    CHECK(cell.violations().empty());
}

TEST_CASE("advice is asked for the places of tasks that are moved") {
    simulated_cell cell{{.allowed_share = 0.5}};
    auto policy = plain_queue();
    policy.advice = workflow::advice_policy{.base_time = 450ms, .ticket_lifetime = 2500ms};
    cell.submit(long_running_job("a", 6), policy);
    cell.run_for(5s); // The tickets of the starts have expired.
    const auto worker = used_workers(cell, 8).front();
    cell.drain_worker(worker, notice);
    cell.run_for(notice);
    CHECK(cell.running_on(worker) == 0);
    CHECK(cell.running_of("a") == 6);
    CHECK(cell.violations().empty());
}

TEST_CASE("a task for which there is no other place stays on a draining worker") {
    simulated_cell cell{{.workers = 2}};
    cell.submit(long_running_job("a", 32), plain_queue());
    cell.run_for(1s);
    cell.drain_worker(0, notice);
    cell.run_for(notice);
    CHECK(cell.running_of("a") == 32);
    CHECK(cell.started_runs() == 32);
}

// AVAIL: no more tasks of a step are taken down than it allows, while there is time to move them in turn.
TEST_CASE("tasks are moved in turn if their step limits how many may be away") {
    simulated_cell cell{{.workers = 4}};
    auto job = long_running_job("a", 6);
    job.steps.front().may_be_away = 2;
    cell.submit(job, plain_queue());
    cell.run_for(1s);
    const auto worker = used_workers(cell, 4).front();
    cell.drain_worker(worker, 3 * notice);
    for (auto passed = 0ms; passed < notice; passed += 5ms) {
        cell.run_for(5ms);
        CHECK(cell.running_of("a") >= 4);
    }
    CHECK(cell.running_on(worker) == 0);
    CHECK(cell.violations().empty());
}

// TWICE: a worker that has announced its departure may be cut off instead, and its tasks work on until their
// lease ends.
TEST_CASE("tasks of a draining worker that vanishes are started elsewhere only when their lease has ended") {
    simulated_cell cell{{.workers = 2}};
    cell.submit(long_running_job("a", 16), plain_queue());
    cell.run_for(1s);
    const auto worker = used_workers(cell, 2).front();
    cell.submit(long_running_job("filler", 16), plain_queue());
    cell.run_for(1s);
    cell.drain_worker(worker, notice); // There is no place elsewhere.
    cell.run_for(notice);
    vanish(cell, worker);
    cell.cancel(workflow::job_key{"filler"});
    cell.run_for(1s);
    CHECK(cell.started_runs() == 32);
    cell.run_for(longest_lease_wait);
    CHECK(cell.started_runs() == 48);
    CHECK(cell.running_of("a") == 16);
    CHECK(cell.violations().empty());
}

} // namespace rattanmount::tests
