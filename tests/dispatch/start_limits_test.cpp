#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

/// Calls to workers that a host with half a core makes in a second.
constexpr std::uint32_t calls_of_half_a_core = 1500;
/// Tasks of each job, all ready at once.
constexpr std::uint32_t tasks_per_job = 10;
constexpr core::milliseconds work{600};

workflow::queue_policy quick_queue() {
    return {.queue = workflow::queue_id{"quick"},
            .service = core::service_id{"service"},
            .priority = 0,
            .max_attempts = 2};
}

workflow::job_request job_of(int number) {
    workflow::step_request step;
    step.tasks = tasks_per_job;
    step.each = {.millicores = 2000, .memory_mb = 4000, .accelerators = 0};
    step.estimate = work;
    return {.key = workflow::job_key{"q" + std::to_string(number)},
            .queue = workflow::queue_id{"quick"},
            .steps = {step}};
}

simulated_cell_options cell_of(std::uint32_t workers, core::milliseconds latency) {
    return {.workers = workers,
            .capacity = {.millicores = 64000, .memory_mb = 262144, .accelerators = 0},
            .latency = latency,
            .calls_per_second = calls_of_half_a_core};
}

/// Submits jobs at even intervals.
/// @param cell the cell.
/// @param jobs how many.
/// @param span the time from the first to the end of the last interval.
void submit_jobs(simulated_cell& cell, int jobs, core::milliseconds span) {
    const auto begun = cell.now();
    for (int i = 0; i < jobs; i++) {
        cell.submit(job_of(i), quick_queue());
        const auto next = begun + span * (i + 1) / jobs;
        cell.run_for(std::chrono::duration_cast<core::milliseconds>(next - cell.now()));
    }
}

/// Checks that all jobs have ended and that each task was started once.
void check_served(const simulated_cell& cell, std::size_t jobs) {
    CHECK(cell.over_jobs() == jobs);
    CHECK(cell.started_runs() == jobs * tasks_per_job);
    CHECK(cell.violations().empty());
}

} // namespace

// Guards against the collapse of a leader that starts more runs at once than its host can call for.
TEST_CASE("a burst beyond the leader's own capacity is served within 2 s of its end") {
    constexpr int jobs = 400;
    simulated_cell cell{cell_of(350, 5ms)};
    cell.run_for(3s);
    submit_jobs(cell, jobs, 3s);
    cell.run_for(2s);
    check_served(cell, jobs);
}

// Guards against the same collapse where a host's calls take longer than the first timeout of a start.
TEST_CASE("a burst is served within 2 s of its end when calls take 200 ms") {
    constexpr int jobs = 300;
    simulated_cell cell{cell_of(350, 100ms)};
    cell.run_for(3s);
    submit_jobs(cell, jobs, 4s);
    cell.run_for(2s);
    check_served(cell, jobs);
}

// Guards against the collapse of a leader that returns to a backlog.
TEST_CASE("a backlog is worked off as fast as the leader's host can call") {
    constexpr int jobs = 400;
    simulated_cell cell{cell_of(350, 5ms)};
    cell.run_for(3s);
    submit_jobs(cell, jobs, 0ms);
    cell.run_for(6s);
    check_served(cell, jobs);
}

// Guards against the same collapse at the size to design for: 160 starts a second on 800 workers.
TEST_CASE("the peak of the size to design for is served by one leader") {
    constexpr int jobs = 160;
    simulated_cell cell{cell_of(800, 5ms)};
    cell.run_for(3s);
    submit_jobs(cell, jobs, 10s);
    cell.run_for(2s);
    check_served(cell, jobs);
}

// Guards against the same collapse by a burst on 800 workers.
TEST_CASE("a burst on 800 workers is served within 2 s of its end") {
    constexpr int jobs = 240;
    simulated_cell cell{cell_of(800, 5ms)};
    cell.run_for(3s);
    submit_jobs(cell, jobs, 4s);
    cell.run_for(2s);
    check_served(cell, jobs);
}

} // namespace rattanmount::tests
