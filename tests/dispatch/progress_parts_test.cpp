#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr core::resources worker_capacity{.millicores = 64000, .memory_mb = 262144, .accelerators = 0};
constexpr std::uint32_t workers = 4;

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 3};
}

workflow::step_request step_of(std::uint32_t tasks, core::milliseconds estimate) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 100, .memory_mb = 64, .accelerators = 0};
    step.estimate = estimate;
    return step;
}

/// A job whose progress has several parts: tasks, a gang, and a step that waits for both.
workflow::job_request large_job(const std::string& key) {
    auto gang = step_of(300, 1000ms);
    gang.gang = true;
    auto last = step_of(200, 300ms);
    last.after = {0, 1};
    return {.key = workflow::job_key{key},
            .queue = workflow::queue_id{"queue"},
            .steps = {step_of(400, 800ms), gang, last}};
}

constexpr std::uint64_t tasks_of_large_job = 900;

void check_each_task_ran_once(const simulated_cell& cell, std::uint64_t tasks) {
    CHECK(cell.started_runs() == tasks);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

// TWICE, LOST: a successor must take over a job of which the log has only some of the last records.
TEST_CASE("a job is taken over whose last records of progress were stored in part") {
    const auto write_at = GENERATE(0ms, 50ms, 850ms, 1050ms, 1300ms);
    const auto stored = GENERATE(0U, 1U, 2U, 3U, 5U);
    CAPTURE(write_at.count(), stored);
    simulated_cell cell{{.workers = workers, .capacity = worker_capacity}};
    cell.run_for(1s);
    cell.submit(large_job("a"), plain_queue());
    cell.run_for(write_at);
    cell.change_leader_during_write(stored);
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_each_task_ran_once(cell, tasks_of_large_job);
}

TEST_CASE("a job with many tasks is taken over again and again") {
    simulated_cell cell{{.workers = workers, .capacity = worker_capacity}};
    cell.run_for(1s);
    cell.submit(large_job("a"), plain_queue());
    for (int i = 0; i < 12; i++) {
        cell.run_for(170ms);
        cell.change_leader();
    }
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_each_task_ran_once(cell, tasks_of_large_job);
}

// LOST: a scheduled job with many past occurrences could not be recorded any more.
TEST_CASE("a scheduled job runs each occurrence once over several takeovers, and past ones leave the log") {
    constexpr std::uint32_t occurrences = 200;
    simulated_cell cell{{.workers = workers, .capacity = worker_capacity}};
    cell.run_for(1s);
    workflow::job_request request{
        .key = workflow::job_key{"a"}, .queue = workflow::queue_id{"queue"}, .steps = {step_of(3, 120ms)}};
    request.recurs = workflow::recurrence{
        .first = core::system_time{cell.now().time_since_epoch()}, .interval = 50ms, .times = occurrences};
    cell.submit(request, plain_queue());
    for (int i = 0; i < 5; i++) {
        cell.run_for(1900ms);
        cell.change_leader();
    }
    cell.run_for(300ms);
    CHECK(cell.recorded_parts_of("a") < 50);
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.recorded_parts_of("a") == 0);
    check_each_task_ran_once(cell, std::uint64_t{3} * occurrences);
}

} // namespace rattanmount::tests
