#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workers = 8;

workflow::queue_policy queue_of(std::uint32_t priority) {
    return {.queue = workflow::queue_id{"queue" + std::to_string(priority)},
            .service = core::service_id{"service"},
            .priority = priority,
            .max_attempts = 2,
            .stretch = 1.5,
            .latency_goal = 300ms};
}

workflow::job_request job_of(const std::string& key, std::uint32_t tasks, std::int64_t millicores,
                             core::milliseconds estimate) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = millicores, .memory_mb = 1000, .accelerators = 0};
    step.estimate = estimate;
    step.checkpoints = true;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

/// A cell whose workers are full of runs of a lower priority.
void fill(simulated_cell& cell, bool has_teams) {
    if (has_teams) {
        cell.current_dispatcher().set_teams({{.team = core::team_id{"team"}, .weight = 1}});
    }
    cell.run_for(1s);
    cell.submit(job_of("large", workers, 16000, 10s), queue_of(2));
    cell.run_for(1s);
    REQUIRE(cell.running_of("large") == workers);
}

} // namespace

TEST_CASE("quick jobs in a burst over a full cell are on time where teams compete for it") {
    const bool has_teams = GENERATE(true, false);
    simulated_cell cell{{.workers = workers}};
    fill(cell, has_teams);
    const auto quick = job_of("quick", 4, 8000, 600ms);
    cell.submit(quick, queue_of(0));
    cell.run_for(30s);
    const auto objective = dispatch::latency_objective_of({.request = quick, .policy = queue_of(0)});
    CHECK((cell.time_taken("quick") <= objective) == has_teams);
    CHECK(cell.phase_of("large") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("nothing is stopped for a job that is wider than the room, or whose priority is not higher") {
    simulated_cell cell{{.workers = workers}};
    fill(cell, true);
    cell.submit(job_of("wide", 4, 32000, 600ms), queue_of(0));
    cell.submit(job_of("equal", 4, 8000, 600ms), queue_of(2));
    cell.run_for(5s);
    CHECK(cell.running_of("large") == workers);
    CHECK(cell.started_runs() == workers);
}

TEST_CASE("nothing is stopped for a job that cannot be on time any more") {
    simulated_cell cell{{.workers = workers}};
    fill(cell, true);
    auto late = job_of("late", 4, 8000, 600ms);
    auto queue = queue_of(0);
    queue.stretch = 1;
    queue.latency_goal = 50ms;
    cell.submit(late, queue);
    cell.run_for(5s);
    CHECK(cell.started_runs() == workers);
}

} // namespace rattanmount::tests
