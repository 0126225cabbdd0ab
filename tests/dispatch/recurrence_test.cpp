#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t occurrences = 4;
constexpr std::uint32_t tasks = 4;
constexpr std::uint64_t all_runs = std::uint64_t{occurrences} * tasks;

/// A job of which one task of each occurrence takes much longer than the others.
workflow::job_request recurring_job(core::steady_time first) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
    step.estimate = 100ms;
    return {.key = workflow::job_key{"a"},
            .queue = workflow::queue_id{"queue"},
            .steps = {step},
            .recurs = workflow::recurrence{.first = core::system_time{first.time_since_epoch()},
                                           .interval = 2000ms,
                                           .times = occurrences}};
}

} // namespace

// TWICE: the successor deleted the progress of occurrences that were not due by its clock.
TEST_CASE("a successor with an earlier clock keeps the occurrences that its predecessor has opened") {
    simulated_cell cell{{}};
    cell.work_time = [](const workflow::task_name& task, const workflow::step_request& step, std::uint32_t) {
        return task.index == 0 ? core::milliseconds{3000} : step.estimate;
    };
    cell.run_for(1s);
    cell.set_clock_offset(10s);
    cell.submit(recurring_job(cell.now()),
                {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}});
    cell.run_for(1s);
    REQUIRE(cell.started_runs() == all_runs);
    cell.set_clock_offset(0ms);
    cell.change_leader();
    cell.run_for(15s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() == all_runs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace rattanmount::tests
