#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t slow_each = 3;
constexpr core::milliseconds estimate{800};

workflow::queue_policy urgent_queue() {
    return {.queue = workflow::queue_id{"urgent"},
            .service = core::service_id{"service"},
            .priority = 0,
            .max_attempts = 2,
            .stretch = 1.3,
            .latency_goal = 200ms};
}

workflow::job_request job_of(const std::string& key, const workflow::step_request& step) {
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"urgent"}, .steps = {step}};
}

workflow::step_request short_step() {
    workflow::step_request step;
    step.tasks = 6;
    step.each = {.millicores = 4000, .memory_mb = 4000, .accelerators = 0};
    step.estimate = estimate;
    return step;
}

bool is_slow(std::uint32_t worker) {
    return worker % slow_each == 0;
}

/// A third of the workers takes 2.4 times as long.
core::milliseconds uneven_time(const workflow::task_name& /*task*/, const workflow::step_request& step,
                               std::uint32_t worker) {
    return is_slow(worker) ? step.estimate * 12 / 5 : step.estimate;
}

/// Submits jobs until the speeds are known, then more.
/// @return how many of the latter ended within the objective of their queue.
int jobs_in_time(simulated_cell& cell, const workflow::step_request& step) {
    constexpr int learning = 40;
    constexpr int counted = 60;
    for (int i = 0; i < learning + counted; i++) {
        cell.submit(job_of("j" + std::to_string(i), step), urgent_queue());
        cell.run_for(200ms);
    }
    cell.run_for(20s);
    int in_time = 0;
    for (int i = learning; i < learning + counted; i++) {
        in_time += cell.time_taken("j" + std::to_string(i)) <= estimate * 13 / 10 + 200ms ? 1 : 0;
    }
    CHECK(cell.violations().empty());
    return in_time;
}

} // namespace

TEST_CASE("urgent jobs end in time although a third of the workers takes 2.4 times as long") {
    simulated_cell cell{{.workers = 24}};
    cell.work_time = uneven_time;
    CHECK(jobs_in_time(cell, short_step()) >= 57);
}

TEST_CASE("slow workers are used when the fast ones are full") {
    simulated_cell cell{
        {.workers = 6, .capacity = {.millicores = 8000, .memory_mb = 64000, .accelerators = 0}}};
    cell.work_time = uneven_time;
    jobs_in_time(cell, short_step());
    for (int i = 0; i < 3; i++) {
        cell.submit(job_of("full" + std::to_string(i), short_step()), urgent_queue());
    }
    cell.run_for(100ms);
    CHECK(cell.running_on(0) + cell.running_on(3) == 4);
}

TEST_CASE("long-running work leaves the fast workers to urgent jobs") {
    simulated_cell cell{{.workers = 24}};
    cell.work_time = uneven_time;
    jobs_in_time(cell, short_step());
    auto step = short_step();
    step.long_running = true;
    cell.submit(job_of("service", step), urgent_queue());
    cell.run_for(1s);
    std::size_t on_slow = 0;
    for (std::uint32_t i = 0; i < 24; i += slow_each) {
        on_slow += cell.running_on(i);
    }
    CHECK(on_slow == 6);
}

TEST_CASE("a task that takes seven times as long gets a second run where its step allows copies") {
    const std::uint32_t jobs = 100;
    const auto longest_time = [jobs](bool allows_copies, bool change_leader) {
        simulated_cell cell{{.workers = 24}};
        std::set<workflow::task_name> begun;
        cell.work_time = [&begun](const workflow::task_name& task, const workflow::step_request& step,
                                  std::uint32_t /*worker*/) {
            const bool is_first_run = begun.insert(task).second;
            return is_first_run && begun.size() % 120 == 0 ? step.estimate * 7 : step.estimate;
        };
        auto step = short_step();
        step.allows_copies = allows_copies;
        for (std::uint32_t i = 0; i < jobs; i++) {
            cell.submit(job_of("j" + std::to_string(i), step), urgent_queue());
            cell.run_for(1s);
            if (change_leader && i % 20 == 0) {
                cell.change_leader();
            }
        }
        cell.run_for(20s);
        CHECK(cell.violations().empty());
        CHECK(cell.over_jobs() == jobs);
        CHECK(cell.started_runs() <= std::uint64_t{jobs} * step.tasks * 2);
        core::milliseconds longest{0};
        for (std::uint32_t i = jobs / 3; i < jobs; i++) {
            longest = std::max(longest, cell.time_taken("j" + std::to_string(i)));
        }
        return longest;
    };
    CHECK(longest_time(false, false) > estimate * 6);
    CHECK(longest_time(true, false) < estimate * 5);
    CHECK(longest_time(true, true) < estimate * 8); // A new leader starts no third run.
}

TEST_CASE("a worker's factor is not changed by single tasks that take many times as long") {
    dispatch::worker_speeds speeds;
    const dispatch::worker_entry worker{.worker = core::worker_id{"w"}};
    for (int i = 0; i < 30; i++) {
        speeds.add(worker, {.taken = i % 5 == 4 ? estimate * 7 : estimate, .expected = estimate});
        CHECK(speeds.factor_of(worker) == 1);
    }
}

TEST_CASE("a worker of which little is known has the factor of its kind") {
    dispatch::worker_speeds speeds;
    dispatch::worker_entry worker{.worker = core::worker_id{"w"}, .labels = {workflow::worker_label{"old"}}};
    for (int i = 0; i < 9; i++) {
        speeds.add(worker, {.taken = estimate * 2, .expected = estimate});
    }
    worker.worker = core::worker_id{"new"};
    CHECK(speeds.factor_of(worker) == Approx(2));
}

} // namespace rattanmount::tests
