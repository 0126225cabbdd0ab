#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <utility>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workers = 3;
constexpr core::milliseconds latency{5};
/// Longer than the leases that a former leader may have granted count.
constexpr core::milliseconds outage{9000};

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 3};
}

workflow::job_request long_running_job() {
    workflow::step_request step;
    step.tasks = 1;
    step.each = {.millicores = 1000, .memory_mb = 64, .accelerators = 0};
    step.long_running = true;
    return {.key = workflow::job_key{"a"}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

workflow::job_request gang_job() {
    auto job = long_running_job();
    job.steps.front().tasks = 2;
    job.steps.front().gang = true;
    return job;
}

/// Cuts the worker of a run off as soon as the run has begun, and replaces the leader before it has recorded
/// the start. Checks that each leader uses higher numbers than the ones before.
/// @param run the number of the run.
void replace_leader_at_run(simulated_cell& cell, std::uint32_t run) {
    cell.start_sent = [&cell, run, replaced = false, epoch = core::epoch_id{}, former = 0U,
                       highest = 0U](const dispatch::start_order& order) mutable {
        if (order.target.fencing_token.epoch != std::exchange(epoch, order.target.fencing_token.epoch)) {
            former = highest;
        }
        CHECK(order.run.run > former);
        highest = std::max(highest, order.run.run);
        if (replaced || order.run.run != run) {
            return;
        }
        replaced = true;
        cell.call_after(latency + 1ms, [&cell, index = cell.index_of(order.target.worker)] {
            cell.set_disconnected(index, true);
            cell.change_leader();
            cell.call_after(outage, [&cell, index] { cell.set_disconnected(index, false); });
        });
    };
}

void check_violations(const simulated_cell& cell) {
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

// TWICE: a successor gave a task that had over 64 recorded runs the number of the former leader's last start
// again, and the late end of that run then removed the new one.
TEST_CASE("a successor uses no number of a run again, however many runs the log has") {
    const auto failures = GENERATE(0U, 1U, 31U, 32U, 33U, 63U, 64U, 65U, 130U, 700U);
    const auto job = GENERATE(long_running_job(), gang_job());
    CAPTURE(failures, job.steps.front().gang);
    simulated_cell cell{{.workers = workers, .latency = latency, .long_running_fail = true}};
    cell.work_time = [](const auto&, const auto&, auto) { return 30ms; };
    cell.fails = [failures](const workflow::run_name& run, auto) { return run.run <= failures; };
    replace_leader_at_run(cell, failures + 1);
    cell.run_for(1s);
    cell.submit(job, plain_queue());
    cell.run_for(failures * 200ms + 2 * outage);
    CHECK(cell.running_of("a") == job.steps.front().tasks);
    check_violations(cell);
}

// TWICE: a leader without the log may start a task more often than a successor leaves numbers for.
TEST_CASE("a leader whose records are not stored starts a task only as often as a successor expects") {
    const auto runs = GENERATE(1U, 31U, 32U, 33U, 64U, 65U, 100U);
    CAPTURE(runs);
    bool failing = true;
    simulated_cell cell{{.workers = workers, .latency = latency, .long_running_fail = true}};
    cell.work_time = [](const auto&, const auto&, auto) { return 10ms; };
    cell.fails = [&failing](const workflow::run_name&, auto) { return failing; };
    cell.run_for(1s);
    cell.submit(long_running_job(), plain_queue());
    cell.run_for(500ms);
    cell.set_log_down(true);
    const auto before = static_cast<std::uint32_t>(cell.started_runs());
    REQUIRE(before > 0);
    replace_leader_at_run(cell, before + runs);
    cell.run_for(7s);
    CHECK(cell.started_runs() <= before + dispatch::max_unrecorded_runs);
    CHECK(cell.started_runs() >= before + std::min(runs, dispatch::max_unrecorded_runs - 10));
    cell.set_log_down(false);
    cell.run_for(1s);
    failing = false;
    cell.run_for(2 * outage);
    CHECK(cell.running_of("a") == 1);
    check_violations(cell);
}

// TWICE: as above, at any moment: leaders follow each other, some live on, and the log and workers are away.
TEST_CASE("run numbers stay unique under random faults while tasks fail all the time") {
    constexpr std::uint64_t seeds = 40;
    constexpr std::uint32_t takeovers = 6;
    for (std::uint64_t seed = 1; seed <= seeds; seed++) {
        CAPTURE(seed);
        simulated_cell cell{{.seed = seed, .workers = 6, .latency = latency, .long_running_fail = true}};
        std::mt19937_64 random{seed};
        const auto up_to = [&random](std::int64_t most) {
            return std::uniform_int_distribution<std::int64_t>{0, most}(random);
        };
        cell.work_time = [&up_to](const auto&, const auto&, auto) {
            return core::milliseconds{5 + up_to(60)};
        };
        cell.fails = [](const workflow::run_name&, auto) { return true; };
        cell.run_for(1s);
        auto job = long_running_job();
        job.steps.front().tasks = 3;
        cell.submit(job, plain_queue());
        for (std::uint32_t i = 0; i < takeovers; i++) {
            cell.run_for(15s + core::milliseconds{up_to(15000)});
            if (up_to(2) == 0) {
                const core::milliseconds lasting{up_to(5000)};
                cell.set_log_down(true);
                cell.call_after(lasting, [&cell] { cell.set_log_down(false); });
                cell.run_for(core::milliseconds{up_to(5000)});
            }
            for (std::uint32_t worker = 0; worker < 6; worker++) {
                if (up_to(1) == 0) {
                    const core::milliseconds lasting{4000 + up_to(6000)};
                    cell.set_disconnected(worker, true);
                    cell.call_after(lasting, [&cell, worker] { cell.set_disconnected(worker, false); });
                }
            }
            const bool lives_on = up_to(1) == 0;
            lives_on ? cell.cut_off_leader() : cell.change_leader();
        }
        cell.set_log_down(false);
        cell.run_for(2 * outage);
        check_violations(cell);
    }
}

// TWICE: an end was matched with the run that had its number, on whatever worker that was.
TEST_CASE("the end of a run on another worker ends no run that has the same number") {
    using dispatch::run_outcome;
    const auto how = GENERATE(run_outcome::lapsed, run_outcome::stopped, run_outcome::failed);
    CAPTURE(dispatch::to_string(how));
    simulated_cell cell{{.workers = workers, .latency = latency}};
    std::optional<dispatch::start_order> started;
    cell.start_sent = [&started](const dispatch::start_order& order) { started = order; };
    cell.run_for(1s);
    cell.submit(long_running_job(), plain_queue());
    cell.run_for(1s);
    REQUIRE(cell.started_runs() == 1);
    cell.list_end((cell.index_of(started->target.worker) + 1) % workers, started->run, how);
    cell.run_for(2 * outage);
    CHECK(cell.running_of("a") == 1);
    CHECK(cell.started_runs() == 1);
    check_violations(cell);
}

} // namespace rattanmount::tests
