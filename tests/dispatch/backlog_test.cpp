#include "dispatch/step_order.h"
#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr core::milliseconds work{680};
constexpr core::milliseconds advice_time{36};

workflow::queue_policy quick_queue() {
    return {.queue = workflow::queue_id{"quick"},
            .service = core::service_id{"service"},
            .max_attempts = 2,
            .stretch = 1.5,
            .latency_goal = 300ms,
            .advice = workflow::advice_policy{.base_time = advice_time, .ticket_lifetime = 2500ms}};
}

workflow::job_request quick_job(const std::string& key) {
    workflow::step_request step;
    step.tasks = 6;
    step.each = {.millicores = 14000, .memory_mb = 29000, .accelerators = 0};
    step.estimate = work;
    workflow::job_request job{
        .key = workflow::job_key{key}, .queue = workflow::queue_id{"quick"}, .steps = {step, step}};
    job.steps.back().after = {0};
    return job;
}

core::milliseconds objective() {
    return dispatch::latency_objective_of({.request = quick_job("x"), .policy = quick_queue()});
}

/// Counts the jobs "<prefix>0" to "<prefix>N-1" that ended within a time.
int ended_within(const simulated_cell& cell, const std::string& prefix, int count, core::milliseconds limit) {
    int ended = 0;
    for (int i = 0; i < count; i++) {
        ended += cell.time_taken(prefix + std::to_string(i)) <= limit ? 1 : 0;
    }
    return ended;
}

} // namespace

TEST_CASE("the latency objective is the stretched longest chain of work and the goal of the queue") {
    CHECK(objective() == core::milliseconds{(2 * (work + advice_time) * 3) / 2} + 300ms);
    CHECK(dispatch::longest_chains({.request = quick_job("x"), .policy = quick_queue()}).at(1) ==
          work + advice_time);
}

// A backlog after an outage of the log: jobs that were handed in meanwhile become known all at once, and the
// leader's host cannot start them as fast as they came.
TEST_CASE("a backlog after an outage does not make the jobs after it late") {
    const auto workers = GENERATE(350U, 540U);
    simulated_cell cell{{.workers = workers,
                         .capacity = {.millicores = 64000, .memory_mb = 262144, .accelerators = 0},
                         .allowed_share = 0.7,
                         .calls_per_second = 2500}};
    cell.run_for(3s);
    constexpr int backlog = 340; // 7 s of 48 jobs a second
    constexpr int fresh = 480;
    for (int i = 0; i < backlog; i++) {
        cell.submit(quick_job("old" + std::to_string(i)), quick_queue());
    }
    for (int i = 0; i < fresh; i++) {
        cell.submit(quick_job("new" + std::to_string(i)), quick_queue());
        cell.run_for(21ms);
    }
    cell.run_for(30s);
    const auto old_on_time = ended_within(cell, "old", backlog, objective());
    const auto new_on_time = ended_within(cell, "new", fresh, objective());
    CAPTURE(workers, old_on_time, new_on_time, ended_within(cell, "new", fresh, objective() * 3));
    CHECK(new_on_time >= fresh / 2);
    CHECK(cell.over_jobs() == backlog + fresh);
    CHECK(cell.violations().empty());
}

// Jobs that cannot end on time any more wait behind others, but not for ever.
TEST_CASE("an overdue job is started while jobs that can end on time keep coming") {
    simulated_cell cell{
        {.workers = 4, .capacity = {.millicores = 14000, .memory_mb = 29000, .accelerators = 0}}};
    cell.run_for(1s);
    constexpr int jobs = 60;
    for (int i = 0; i < jobs; i++) {
        cell.submit(quick_job("j" + std::to_string(i)), quick_queue());
        cell.run_for(300ms);
    }
    CHECK(workflow::is_over(cell.phase_of("j0")));
    CHECK(workflow::is_over(cell.phase_of("j1")));
}

} // namespace rattanmount::tests
