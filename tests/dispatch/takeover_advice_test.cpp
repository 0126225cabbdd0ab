#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

using namespace std::chrono_literals;

// Guards against new jobs that wait for advice behind inherited ones, which a successor may not start yet and
// asks about again and again.
TEST_CASE("a new job starts soon after a takeover while inherited jobs have to wait") {
    simulated_cell cell{{.workers = 60, .allowed_share = 0.7}};
    cell.run_for(1s);
    const workflow::queue_policy policy{
        .queue = workflow::queue_id{"queue"},
        .service = core::service_id{"service"},
        .advice = workflow::advice_policy{.base_time = 40ms, .ticket_lifetime = 2500ms}};
    workflow::step_request step;
    step.tasks = 4;
    step.each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
    step.estimate = 500ms;
    const auto submit = [&](const std::string& key) {
        cell.submit({.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}},
                    policy);
    };
    constexpr int inherited = 100;
    for (int i = 0; i < inherited; i++) {
        submit("inherited" + std::to_string(i));
    }
    // The successor cannot know what runs on this worker before its lease has expired.
    cell.set_disconnected(0, true);
    cell.change_leader();
    cell.run_for(100ms);
    submit("new");
    cell.run_for(12s);
    CHECK(cell.time_taken("new") < 500ms + 1500ms);
    CHECK(cell.over_jobs() == inherited + 1);
    CHECK(cell.violations().empty());
}

} // namespace rattanmount::tests
