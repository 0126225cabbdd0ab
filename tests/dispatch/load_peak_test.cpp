#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

workflow::queue_policy queue_of(std::uint32_t priority, core::milliseconds advice_time) {
    return {.queue = workflow::queue_id{"queue" + std::to_string(priority)},
            .service = core::service_id{"service"},
            .priority = priority,
            .max_attempts = 2,
            .advice = workflow::advice_policy{.base_time = advice_time, .ticket_lifetime = 2500ms}};
}

workflow::step_request step_of(std::uint32_t tasks, std::int64_t millicores, core::milliseconds estimate) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = millicores, .memory_mb = millicores * 2, .accelerators = 0};
    step.estimate = estimate;
    return step;
}

workflow::job_request job_of(const std::string& key, const workflow::step_request& step, bool twice) {
    workflow::job_request job{
        .key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
    if (twice) {
        job.steps.push_back(step);
        job.steps.back().after = {0};
    }
    return job;
}

} // namespace

TEST_CASE("a peak of short jobs beside batch jobs completes within the urgent bound") {
    simulated_cell cell{{.workers = 48,
                         .capacity = {.millicores = 64000, .memory_mb = 262144, .accelerators = 0},
                         .allowed_share = 0.7}};
    constexpr int jobs = 500;
    constexpr int batch_each = 8;
    for (int i = 0; i < jobs; i++) {
        cell.submit(job_of("q" + std::to_string(i), step_of(6, 5000, 680ms), true), queue_of(0, 26ms));
        if (i % batch_each == 0) {
            cell.submit(job_of("b" + std::to_string(i), step_of(13, 11000, 3200ms), false), queue_of(2, 0ms));
        }
        cell.run_for(50ms);
    }
    cell.run_for(10s);
    for (int i = 0; i < jobs; i++) {
        CHECK(cell.time_taken("q" + std::to_string(i)) < 2600ms + 2 * 680ms);
    }
    CHECK(cell.violations().empty());
}

TEST_CASE("a peak of short jobs on 350 workers that also run services completes within the urgent bound") {
    simulated_cell cell{{.workers = 350,
                         .capacity = {.millicores = 64000, .memory_mb = 262144, .accelerators = 0},
                         .allowed_share = 0.7}};
    constexpr int services = 13;
    constexpr int jobs = 600;
    constexpr int batch_each = 8;
    for (int i = 0; i < services; i++) {
        auto step = step_of(20, 18000, 0ms);
        step.long_running = true;
        cell.submit(job_of("s" + std::to_string(i), step, false), queue_of(1, 585ms));
    }
    for (int i = 0; i < jobs; i++) {
        cell.submit(job_of("q" + std::to_string(i), step_of(10, 8900, 680ms), true), queue_of(0, 33ms));
        if (i % batch_each == 0) {
            cell.submit(job_of("b" + std::to_string(i), step_of(21, 18000, 3200ms), true),
                        queue_of(2, 507ms));
        }
        cell.run_for(17ms);
    }
    cell.run_for(10s);
    for (int i = 0; i < jobs; i++) {
        CHECK(cell.time_taken("q" + std::to_string(i)) < 2600ms + 2 * 680ms);
    }
    CHECK(cell.violations().empty());
}

TEST_CASE("short jobs do not wait behind the slow advice requests of many batch jobs") {
    simulated_cell cell{{.workers = 48,
                         .capacity = {.millicores = 64000, .memory_mb = 262144, .accelerators = 0},
                         .allowed_share = 0.7}};
    cell.run_for(200ms);
    constexpr int batches = 40;
    constexpr int quick = 20;
    for (int i = 0; i < batches; i++) {
        cell.submit(job_of("b" + std::to_string(i), step_of(2, 1000, 3200ms), false), queue_of(2, 800ms));
    }
    for (int i = 0; i < quick; i++) {
        cell.run_for(50ms);
        cell.submit(job_of("q" + std::to_string(i), step_of(6, 1000, 400ms), false), queue_of(0, 30ms));
    }
    cell.run_for(10s);
    for (int i = 0; i < quick; i++) {
        CHECK(cell.time_taken("q" + std::to_string(i)) < 700ms);
    }
    CHECK(cell.violations().empty());
}

} // namespace rattanmount::tests
