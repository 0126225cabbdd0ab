#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

/// A task that is to last may be down for 6 s, beside one wait for the leases of lost workers.
constexpr core::milliseconds longest_absence{12100};
constexpr core::milliseconds longest_lease{4000};
constexpr std::uint32_t tasks_per_worker = 2;

workflow::job_request lasting_job(const std::string& key, std::uint32_t tasks) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 2000, .memory_mb = 2000, .accelerators = 0};
    step.long_running = true;
    step.most_per_worker = tasks_per_worker;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

/// Replaces the leader four times, after a tenth of the workers is lost for good.
/// @return how long tasks of lost workers were away, but for the time in which they may still have run.
core::milliseconds longest_absence_after_losses(simulated_cell& cell, std::uint32_t workers,
                                                core::milliseconds interval) {
    const auto tasks = workers * tasks_per_worker * 8 / 10;
    cell.submit(lasting_job("a", tasks),
                {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}});
    cell.run_for(3s);
    REQUIRE(cell.running_of("a") == tasks);
    for (std::uint32_t i = 0; i < workers / 10; i++) {
        cell.set_disconnected(i * 10, true);
        cell.set_listed(i * 10, false);
    }
    const auto lost_at = cell.now();
    auto next_change = lost_at + 1s;
    int changes = 0;
    while (cell.now() < lost_at + 30s) {
        if (changes < 4 && cell.now() >= next_change) {
            cell.change_leader();
            changes++;
            next_change += interval;
        }
        cell.run_for(20ms);
        if (cell.now() > lost_at + longest_lease + 200ms && cell.running_of("a") == tasks) {
            break;
        }
    }
    return std::chrono::duration_cast<core::milliseconds>(cell.now() - lost_at);
}

} // namespace

// LOST: each leader began the wait for the leases of lost workers anew.
TEST_CASE("leaders that follow each other wait only once for the leases of lost workers") {
    const auto interval = GENERATE(500ms, 2000ms, 3000ms, 5000ms, 6000ms);
    const auto workers = GENERATE(48U, 540U);
    CAPTURE(interval.count(), workers);
    simulated_cell cell{{.workers = workers}};
    CHECK(longest_absence_after_losses(cell, workers, interval) <= longest_absence);
    cell.run_for(5s);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace rattanmount::tests
