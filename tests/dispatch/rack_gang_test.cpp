#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workers_per_rack = 8; // As simulated_cell has them.
constexpr std::uint32_t racks = 3;
constexpr std::uint32_t workers = racks * workers_per_rack;
constexpr core::resources whole_worker{.millicores = 16000, .memory_mb = 1000, .accelerators = 0};
/// From the users' rules: a job with room for it twice over must not wait longer.
constexpr core::milliseconds longest_wait{3000};

workflow::queue_policy queue_named(const std::string& name) {
    return {.queue = workflow::queue_id{name}, .service = core::service_id{"service"}, .max_attempts = 3};
}

/// @return a gang for one rack, each task of which takes a whole worker.
workflow::job_request rack_gang(const std::string& key, std::uint32_t tasks,
                                core::milliseconds estimate = 500ms) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = whole_worker;
    step.estimate = estimate;
    step.gang = true;
    step.one_rack = true;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

/// @return a job with a task that takes a whole worker.
workflow::job_request single_task(const std::string& key, core::milliseconds estimate, bool long_running) {
    auto job = rack_gang(key, 1, estimate);
    job.steps.front().gang = job.steps.front().one_rack = false;
    job.steps.front().long_running = long_running;
    return job;
}

/// Notes where the tasks of a job are started.
struct start_log {
    std::set<std::uint32_t> racks;
    core::steady_time first;

    start_log(simulated_cell& cell, const std::string& job) {
        cell.start_sent = [this, &cell, job](const dispatch::start_order& order) {
            if (order.run.task.step.job.value() != job) {
                return;
            }
            this->first = this->racks.empty() ? cell.now() : this->first;
            this->racks.insert(cell.index_of(order.target.worker) / workers_per_rack);
        };
    }
};

/// @param listed whether the platform's list still has it.
void lose_worker(simulated_cell& cell, std::uint32_t index, bool listed) {
    cell.set_disconnected(index, true);
    cell.set_listed(index, listed);
    if (!listed) {
        cell.current_dispatcher().drop_worker(simulated_cell::worker_name(index));
    }
}

/// Runs a task that takes a whole worker on each of the given ones, by making all others refuse.
void occupy(simulated_cell& cell, const std::vector<std::uint32_t>& which, core::milliseconds time,
            bool long_running) {
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_refusing(i, std::find(which.begin(), which.end(), i) == which.end());
    }
    for (const auto index : which) {
        cell.submit(single_task("occupant" + std::to_string(index), time, long_running),
                    queue_named("occupants"));
    }
    while (cell.started_runs() < which.size()) {
        cell.run_for(100ms);
    }
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_refusing(i, false);
    }
    cell.run_for(1s);
}

void check_started_within(const simulated_cell& cell, const start_log& starts, core::steady_time submitted,
                          core::milliseconds limit) {
    REQUIRE_FALSE(starts.racks.empty());
    CHECK(starts.first - submitted <= limit);
    CHECK(cell.violations().empty());
}

} // namespace

// LOST: a gang that is to run in one rack waited without end if no rack could hold it.
TEST_CASE("a gang for one rack starts across racks if workers of each rack are gone") {
    const auto lost_per_rack = GENERATE(1U, 4U, 5U);
    const bool listed = GENERATE(false, true);
    const auto tasks = GENERATE(4U, 8U, 9U);
    CAPTURE(lost_per_rack, listed, tasks);
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    for (std::uint32_t rack = 0; rack < racks; rack++) {
        for (std::uint32_t i = 0; i < lost_per_rack; i++) {
            lose_worker(cell, rack * workers_per_rack + i, listed);
        }
    }
    cell.run_for(12s);
    start_log starts{cell, "a"};
    const auto submitted = cell.now();
    cell.submit(rack_gang("a", tasks), queue_named("queue"));
    cell.run_for(longest_wait);
    check_started_within(cell, starts, submitted, listed ? longest_wait : 200ms);
    const bool fits_in_one = tasks + lost_per_rack <= workers_per_rack;
    CHECK((starts.racks.size() == 1) == fits_in_one);
}

TEST_CASE("a gang that is larger than any rack starts at once") {
    const auto tasks = GENERATE(9U, 16U, 24U);
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    start_log starts{cell, "a"};
    const auto submitted = cell.now();
    cell.submit(rack_gang("a", tasks), queue_named("queue"));
    cell.run_for(longest_wait);
    check_started_within(cell, starts, submitted, 200ms);
}

TEST_CASE("a gang for one rack starts at once across racks if services hold a worker of each rack") {
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    occupy(cell, {0, 8, 16}, 0ms, true);
    start_log starts{cell, "a"};
    const auto submitted = cell.now();
    cell.submit(rack_gang("a", 8), queue_named("queue"));
    cell.run_for(longest_wait);
    check_started_within(cell, starts, submitted, 200ms);
}

// LOST: the wait for a rack whose runs do not end had no limit either.
TEST_CASE("a gang for one rack waits only so long for a rack if there is room across racks") {
    const auto estimate = GENERATE(0ms, 300ms, 20000ms);
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    occupy(cell, {0, 8, 16}, 60s, false);
    start_log starts{cell, "a"};
    const auto submitted = cell.now();
    cell.submit(rack_gang("a", 8, estimate), queue_named("queue"));
    cell.run_for(longest_wait);
    check_started_within(cell, starts, submitted, longest_wait);
}

TEST_CASE("a gang for one rack waits for a rack that is free soon") {
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    occupy(cell, {0, 8, 16}, 2500ms, false);
    start_log starts{cell, "a"};
    const auto submitted = cell.now();
    cell.submit(rack_gang("a", 8, 3s), queue_named("queue"));
    cell.run_for(2 * longest_wait);
    check_started_within(cell, starts, submitted, longest_wait);
    CHECK(starts.racks.size() == 1);
}

TEST_CASE("a gang for one rack starts across racks if advice leaves too few workers in each") {
    const auto share = GENERATE(0.4, 0.6, 0.8);
    simulated_cell cell{{.workers = workers, .allowed_share = share}};
    cell.run_for(1s);
    start_log starts{cell, "a"};
    const auto submitted = cell.now();
    auto policy = queue_named("queue");
    policy.advice =
        workflow::advice_policy{.base_time = 40ms, .time_per_worker = 1ms, .ticket_lifetime = 2000ms};
    cell.submit(rack_gang("a", 6), policy);
    cell.run_for(longest_wait);
    check_started_within(cell, starts, submitted, longest_wait);
}

// LOST: as above, for a gang that already ran in the last rack that could hold it.
TEST_CASE("a gang for one rack that loses a worker starts again across racks") {
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    lose_worker(cell, 0, false);
    lose_worker(cell, 8, false);
    cell.submit(rack_gang("a", 8, 3s), queue_named("queue"));
    cell.run_for(1s);
    REQUIRE(cell.running_of("a") == 8);
    lose_worker(cell, 16, false);
    cell.run_for(12s); // The lease of the lost worker, a wait and the work.
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

} // namespace rattanmount::tests
