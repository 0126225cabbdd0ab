#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workers = 6;
constexpr std::uint32_t jobs = 10;
/// `visible_ms` of the users' deployments, and the age that a count may have.
constexpr core::milliseconds count_due{5000};

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 3};
}

/// @param kind one of `tasks`, `gang` and `service`.
void submit_jobs(simulated_cell& cell, const std::string& kind) {
    workflow::step_request step;
    step.tasks = kind == "gang" ? 2 : 1;
    step.each = {.millicores = 100, .memory_mb = 64, .accelerators = 0};
    step.estimate = 300ms;
    step.gang = kind == "gang";
    step.long_running = kind == "service";
    for (std::uint32_t i = 0; i < jobs; i++) {
        cell.submit({.key = workflow::job_key{"j" + std::to_string(i)},
                     .queue = workflow::queue_id{"queue"},
                     .steps = {step}},
                    plain_queue());
    }
}

void set_all_refusing(simulated_cell& cell, bool refusing) {
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_refusing(i, refusing);
    }
}

void check_all_began(simulated_cell& cell) {
    CHECK(cell.pending("queue") == 0);
    for (std::uint32_t i = 0; i < jobs; i++) {
        CHECK(cell.phase_of("j" + std::to_string(i)) != workflow::job_phase::queued);
    }
    CHECK(cell.violations().empty());
}

} // namespace

// MIXED: a job counted as begun once a start was sent, also if the worker refused it.
TEST_CASE("jobs whose starts are refused are pending until one is accepted") {
    const auto kind = GENERATE(as<std::string>{}, "tasks", "gang", "service");
    const bool leader_changes = GENERATE(false, true);
    CAPTURE(kind, leader_changes);
    simulated_cell cell{{.workers = workers}};
    cell.run_for(1s);
    set_all_refusing(cell, true);
    submit_jobs(cell, kind);
    cell.run_for(count_due);
    CHECK(cell.pending("queue") == jobs);
    if (leader_changes) {
        cell.change_leader();
        cell.run_for(count_due);
        CHECK(cell.pending("queue") == jobs);
    }
    set_all_refusing(cell, false);
    cell.run_for(15s);
    check_all_began(cell);
}

// MIXED: as above, for starts that are lost on their way.
TEST_CASE("jobs whose starts never arrive are pending") {
    simulated_cell cell{{.workers = workers, .lost_share = 1}};
    cell.run_for(1s);
    submit_jobs(cell, "tasks");
    cell.run_for(count_due);
    CHECK(cell.started_runs() == 0);
    CHECK(cell.pending("queue") == jobs);
}

TEST_CASE("jobs whose starts are carried out without an answer are not pending") {
    simulated_cell cell{{.workers = workers, .late_share = 1, .late_time = 600ms}};
    cell.run_for(1s);
    submit_jobs(cell, "service");
    cell.run_for(count_due);
    CHECK(cell.started_runs() > 0);
    cell.run_for(15s);
    check_all_began(cell);
}

} // namespace rattanmount::tests
