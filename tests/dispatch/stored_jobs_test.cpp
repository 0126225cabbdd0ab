#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <cstdint>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workers = 4;

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 3};
}

workflow::job_request make_job(std::uint32_t tasks, bool gang, bool long_running) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 1000, .memory_mb = 64, .accelerators = 0};
    step.gang = gang;
    step.long_running = long_running;
    return {.key = workflow::job_key{"a"}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

/// Replaces the leader, which lives on. Each of the two reaches other workers, so that none shows the former
/// one that it was replaced.
void replace_leader(simulated_cell& cell) {
    cell.disconnect_from_leader(workers - 1);
    for (std::uint32_t i = 0; i < workers - 1; i++) {
        cell.set_disconnected(i, true);
    }
    cell.cut_off_leader();
    for (std::uint32_t i = 0; i < workers - 1; i++) {
        cell.disconnect_from_leader(i);
        cell.set_disconnected(i, false);
    }
}

} // namespace

// TWICE: a former leader that had not read the claim of its successor started a job that it had just stored,
// while the successor had read the job as one that nobody had started.
TEST_CASE("a job that a former leader stores after it was replaced is started by its successor only") {
    const auto after = GENERATE(0, 1, 20, 200, 700, 1400, 1600, 5000, 9500);
    const auto tasks = GENERATE(1U, 3U);
    const auto gang = GENERATE(false, true);
    const auto long_running = GENERATE(false, true);
    CAPTURE(after, tasks, gang, long_running);
    simulated_cell cell{{.workers = workers, .latency = core::milliseconds{5}}};
    cell.work_time = [](const auto&, const auto&, auto) { return core::milliseconds{2000}; };
    cell.run_for(1s);
    replace_leader(cell);
    cell.run_for(core::milliseconds{after});
    cell.submit_through_former_leaders(make_job(tasks, gang, long_running), plain_queue());
    cell.run_for(15s);
    CHECK(cell.started_runs() == tasks);
    CHECK((long_running || cell.over_jobs() == 1));
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace rattanmount::tests
