#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

const workflow::worker_label label_a{"a"};
const workflow::worker_label label_b{"b"};
constexpr core::resources full{.millicores = 16000, .memory_mb = 64000, .accelerators = 0};
constexpr core::resources quarter{.millicores = 4000, .memory_mb = 16000, .accelerators = 0};
constexpr core::milliseconds list_delay{1500};

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};
}

workflow::job_request job_of(const std::string& key, std::uint32_t tasks, core::milliseconds estimate,
                             const workflow::worker_label& label = {}) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 2000, .memory_mb = 2000, .accelerators = 0};
    step.estimate = estimate;
    step.required_label = label;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

/// Submits a job of one short task every 20 ms.
void submit_for(simulated_cell& cell, core::milliseconds time, const std::string& prefix,
                const workflow::worker_label& label) {
    constexpr core::milliseconds interval{20};
    for (int i = 0; i < time / interval; i++) {
        cell.submit(job_of(prefix + std::to_string(i), 1, 100ms, label), plain_queue());
        cell.run_for(interval);
    }
}

void check_no_violation(const simulated_cell& cell) {
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

// ROUTE: labels of the former incarnation counted for the one that had answered.
TEST_CASE("a restarted worker gets tasks by its own labels as soon as it is listed, and none before") {
    simulated_cell cell{{.workers = 2}};
    cell.restart_worker_as(0, {.labels = {label_b}, .capacity = full}, 0ms);
    cell.run_for(1s);
    submit_for(cell, 500ms, "before", label_b);
    cell.restart_worker_as(0, {.labels = {label_a}, .capacity = full}, list_delay);
    submit_for(cell, list_delay, "unlisted", label_b);
    CHECK(cell.running_on(0) == 0);
    submit_for(cell, 200ms, "listed", label_a);
    CHECK(cell.running_on(0) > 0);
    check_no_violation(cell);
}

// LIMIT: so did its capacity.
TEST_CASE("a restarted worker gets no more tasks than its own capacity holds") {
    simulated_cell cell{{.workers = 2}};
    cell.run_for(1s);
    cell.restart_worker_as(0, {.capacity = quarter}, list_delay);
    cell.run_for(1s);
    cell.submit(job_of("a", 16, 2s), plain_queue());
    cell.run_for(10s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_no_violation(cell);
}

// ROUTE: the repeat of a start named the incarnation that had answered last.
TEST_CASE("a start without an answer is not repeated to a later incarnation of its worker") {
    simulated_cell cell{{.workers = 1}};
    cell.restart_worker_as(0, {.labels = {label_b}, .capacity = full}, 0ms);
    cell.run_for(1s);
    cell.set_disconnected(0, true);
    cell.restart_worker_as(0, {.labels = {label_a}, .capacity = full}, 5s);
    cell.submit(job_of("a", 1, 100ms, label_b), plain_queue());
    cell.run_for(300ms);
    cell.set_disconnected(0, false);
    cell.run_for(10s);
    CHECK(cell.started_runs() == 0);
    cell.restart_worker_as(0, {.labels = {label_b}, .capacity = full}, list_delay);
    cell.run_for(3s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_no_violation(cell);
}

} // namespace rattanmount::tests
