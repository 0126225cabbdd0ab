#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <functional>
#include <set>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

workflow::step_request random_step(std::mt19937_64& random, std::uint32_t index) {
    const auto up_to = [&](std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>{0, most}(random);
    };
    workflow::step_request step;
    step.tasks = static_cast<std::uint32_t>(1 + up_to(9));
    step.each = {.millicores = 500 + up_to(6000), .memory_mb = 500 + up_to(8000), .accelerators = 0};
    step.estimate = core::milliseconds{100 + up_to(2500)};
    step.gang = up_to(9) == 0;
    if (step.gang) {
        step.tasks = std::min(step.tasks, 4U); // Any two workers have enough capacity for the whole gang.
    }
    step.most_per_worker = !step.gang && up_to(4) == 0 ? static_cast<std::uint32_t>(1 + up_to(2)) : 0;
    if (index > 0) {
        step.after = {index - 1};
    }
    return step;
}

workflow::job_request random_job(std::mt19937_64& random, std::uint32_t number) {
    workflow::job_request request{.key = workflow::job_key{"job" + std::to_string(number)},
                                  .queue = workflow::queue_id{"queue"}};
    const auto steps = std::uniform_int_distribution<std::uint32_t>{1, 3}(random);
    for (std::uint32_t i = 0; i < steps; i++) {
        request.steps.push_back(random_step(random, i));
    }
    return request;
}

void inject_random_fault(simulated_cell& cell, std::uint32_t workers) {
    const auto worker = std::uniform_int_distribution<std::uint32_t>{0, workers - 1}(cell.random());
    switch (std::uniform_int_distribution<int>{0, 7}(cell.random())) {
    case 0:
        cell.restart_worker(worker);
        break;
    case 1:
        cell.set_disconnected(worker, true);
        break;
    case 2:
        cell.set_disconnected(worker, false);
        break;
    case 3:
        cell.change_leader();
        break;
    case 4:
        cell.set_log_down(true);
        break;
    case 5:
        cell.set_listed(worker, false);
        break;
    case 6:
        cell.set_listed(worker, true);
        break;
    default:
        cell.set_log_down(false);
        break;
    }
}

/// Announces the departure of a worker; one that has announced it before leaves, and comes back empty.
void drain_or_replace(simulated_cell& cell, std::set<std::uint32_t>& draining, std::uint32_t worker) {
    if (draining.erase(worker) > 0) {
        cell.restart_worker(worker);
        return;
    }
    draining.insert(worker);
    cell.drain_worker(worker);
}

/// Restarts a worker with a random label and capacity, which the platform's list shows with a delay.
void restart_as_another_kind(simulated_cell& cell, std::uint32_t workers) {
    const auto draw = [&](int most) { return std::uniform_int_distribution<int>{0, most}(cell.random()); };
    cell.restart_worker_as(static_cast<std::uint32_t>(draw(static_cast<int>(workers) - 1)),
                           {.labels = {workflow::worker_label{draw(1) == 0 ? "a" : "b"}},
                            .capacity = {.millicores = 8000 + 1000 * draw(8), .memory_mb = 64000}},
                           core::milliseconds{draw(2000)});
}

/// As run_schedule(), with workers that restart as another kind and steps that need a kind.
void run_schedule_of_kinds(std::uint64_t seed) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 25;
    simulated_cell cell{{.seed = seed, .workers = workers, .lost_share = 0.01, .late_share = 0.02}};
    const workflow::queue_policy policy{
        .queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};
    for (std::uint32_t i = 0; i < jobs; i++) {
        auto request = random_job(cell.random(), i);
        request.steps.front().required_label = workflow::worker_label{i % 2 == 0 ? "a" : "b"};
        cell.submit(request, policy);
        cell.run_for(core::milliseconds{std::uniform_int_distribution<int>{0, 800}(cell.random())});
        restart_as_another_kind(cell, workers);
        if (i % 4 == 0) {
            inject_random_fault(cell, workers);
        }
    }
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_disconnected(i, false);
        cell.set_listed(i, true);
        cell.restart_worker_as(i,
                               {.labels = {workflow::worker_label{i % 2 == 0 ? "a" : "b"}},
                                .capacity = {.millicores = 16000, .memory_mb = 64000}},
                               0ms);
    }
    cell.set_log_down(false);
    cell.run_for(90s);
    CHECK(cell.over_jobs() == jobs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

/// Runs one random schedule of jobs and faults, then a period without new faults in which every job must end.
/// @param seed of the schedule.
/// @param calls_per_second that a leader's host can make; 0: any number.
/// @param max_ends_per_answer that a worker lists.
void run_schedule(std::uint64_t seed, std::uint32_t calls_per_second, std::size_t max_ends_per_answer = 500) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 25;
    simulated_cell cell{{.seed = seed,
                         .workers = workers,
                         .failing_share = 0.03,
                         .lost_share = 0.01,
                         .late_share = 0.02,
                         .allowed_share = 0.7,
                         .max_ends_per_answer = max_ends_per_answer,
                         .calls_per_second = calls_per_second}};
    workflow::queue_policy policy{
        .queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};
    if (seed % 2 == 0) {
        policy.advice = workflow::advice_policy{.base_time = 30ms, .ticket_lifetime = 2500ms};
    }
    for (std::uint32_t i = 0; i < jobs; i++) {
        cell.submit(random_job(cell.random(), i), policy);
        cell.run_for(core::milliseconds{std::uniform_int_distribution<int>{0, 800}(cell.random())});
        if (std::uniform_int_distribution<int>{0, 3}(cell.random()) == 0) {
            inject_random_fault(cell, workers);
        }
    }
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_disconnected(i, false);
        cell.set_listed(i, true);
    }
    cell.set_log_down(false);
    cell.run_for(90s);
    CHECK(cell.over_jobs() == jobs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

/// As run_schedule(), with workers that drain and long-running jobs, of which all tasks must run at the end.
void run_draining_schedule(std::uint64_t seed) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 25;
    constexpr std::uint32_t jobs_per_long_running_one = 5;
    simulated_cell cell{{.seed = seed,
                         .workers = workers,
                         .failing_share = 0.03,
                         .lost_share = 0.01,
                         .late_share = 0.02,
                         .allowed_share = 0.7}};
    workflow::queue_policy policy{
        .queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};
    if (seed % 2 == 0) {
        policy.advice = workflow::advice_policy{.base_time = 30ms, .ticket_lifetime = 2500ms};
    }
    std::set<std::uint32_t> draining;
    std::vector<workflow::job_request> long_running;
    const auto draw = [&](int most) { return std::uniform_int_distribution<int>{0, most}(cell.random()); };
    for (std::uint32_t i = 0; i < jobs; i++) {
        auto request = random_job(cell.random(), i);
        if (i % jobs_per_long_running_one == 0) {
            request.steps.resize(1);
            request.steps.front().long_running = true;
            request.steps.front().gang = false;
            request.steps.front().tasks = 1 + i % 3;
            request.steps.front().each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
            request.steps.front().may_be_away = i % 2;
            long_running.push_back(request);
        }
        cell.submit(request, policy);
        cell.run_for(core::milliseconds{draw(800)});
        if (draw(2) == 0) {
            drain_or_replace(cell, draining, static_cast<std::uint32_t>(draw(workers - 1)));
        }
        if (draw(3) == 0) {
            inject_random_fault(cell, workers);
        }
    }
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_disconnected(i, false);
        cell.set_listed(i, true);
    }
    cell.set_log_down(false);
    for (const auto worker : draining) {
        cell.restart_worker(worker);
    }
    cell.run_for(60s);
    for (const auto& request : long_running) {
        CHECK(cell.running_of(request.key.value()) == request.steps.front().tasks);
        cell.cancel(request.key);
    }
    cell.run_for(30s);
    CHECK(cell.over_jobs() == jobs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

/// Replaces the leader; the former one may live on, and the next one may not reach a worker.
void replace_leader(simulated_cell& cell, std::uint32_t workers) {
    const auto draw = [&](std::uint32_t most) {
        return std::uniform_int_distribution<std::uint32_t>{0, most}(cell.random());
    };
    if (draw(1) == 0) {
        cell.change_leader();
    } else {
        cell.cut_off_leader();
    }
    if (draw(1) == 0) {
        cell.disconnect_from_leader(draw(workers - 1));
    }
}

/// As run_schedule(), with leaders that follow each other within seconds while workers are lost and come
/// back.
void run_schedule_of_takeovers(std::uint64_t seed) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 25;
    simulated_cell cell{{.seed = seed, .workers = workers, .lost_share = 0.01, .late_share = 0.02}};
    const workflow::queue_policy policy{
        .queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};
    const auto draw = [&](std::uint32_t most) {
        return std::uniform_int_distribution<std::uint32_t>{0, most}(cell.random());
    };
    for (std::uint32_t i = 0; i < jobs; i++) {
        cell.submit(random_job(cell.random(), i), policy);
        cell.run_for(core::milliseconds{draw(1200)});
        if (draw(1) == 0) {
            replace_leader(cell, workers);
        }
        cell.set_disconnected(draw(workers - 1), draw(1) == 0);
        if (draw(5) == 0) {
            inject_random_fault(cell, workers);
        }
    }
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.set_disconnected(i, false);
        cell.set_listed(i, true);
    }
    cell.set_log_down(false);
    cell.change_leader();
    cell.run_for(90s);
    CHECK(cell.over_jobs() == jobs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

/// Restarts a worker under its name and cuts it off for a time soon after its return.
void restart_and_cut_off(simulated_cell& cell, std::uint32_t worker, core::milliseconds listed_after,
                         core::milliseconds back_for, core::milliseconds cut_off_for) {
    cell.restart_worker_as(worker, {.capacity = {.millicores = 16000, .memory_mb = 64000}}, listed_after);
    cell.run_for(back_for);
    cell.set_disconnected(worker, true);
    cell.call_after(cut_off_for, [&cell, worker] { cell.set_disconnected(worker, false); });
}

/// As run_schedule(), with workers that restart and are cut off soon after, orders that arrive up to 12 s
/// late, leaders that follow each other and, for even seeds, slow clocks of the workers.
void run_schedule_of_restarts(std::uint64_t seed) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 20;
    simulated_cell cell{{.seed = seed,
                         .workers = workers,
                         .lost_share = 0.01,
                         .late_share = 0.02,
                         .late_time = 12s,
                         .late_hold_share = 0.03,
                         .clock_rate = seed % 2 == 0 ? 0.98 : 1.0,
                         .followers = 2}};
    const workflow::queue_policy policy{
        .queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 4};
    const auto draw = [&](std::uint32_t most) {
        return std::uniform_int_distribution<std::uint32_t>{0, most}(cell.random());
    };
    const auto draw_time = [&](core::milliseconds least, core::milliseconds most) {
        return core::milliseconds{
            std::uniform_int_distribution<std::int64_t>{least.count(), most.count()}(cell.random())};
    };
    for (std::uint32_t i = 0; i < jobs; i++) {
        auto request = random_job(cell.random(), i);
        request.steps.front().estimate = draw_time(500ms, 15s);
        cell.submit(request, policy);
        cell.run_for(draw_time(0ms, 1500ms));
        if (draw(2) == 0) {
            const auto listed_after = draw_time(0ms, 1s);
            const auto back_for = draw_time(100ms, 2s);
            restart_and_cut_off(cell, draw(workers - 1), listed_after, back_for, draw_time(5s, 15s));
        }
        if (draw(3) == 0) {
            cell.change_leader();
        }
    }
    cell.run_for(105s);
    CHECK(cell.over_jobs() == jobs);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

/// Runs the schedules that RATTANMOUNT_SEEDS=FIRST:COUNT selects.
/// @param schedule runs the schedule of a seed.
/// @param count the number of schedules if the variable is not set.
/// @param elsewhere the seeds that a test of their own runs; left out if the variable is not set.
void run_seeds(const std::function<void(std::uint64_t)>& schedule, std::uint64_t count,
               const std::set<std::uint64_t>& elsewhere = {}) {
    std::uint64_t first = 1;
    bool chosen = false;
    if (const char* seeds = std::getenv("RATTANMOUNT_SEEDS")) {
        char* rest = nullptr;
        first = std::strtoull(seeds, &rest, 10);
        count = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1;
        chosen = true;
    }
    for (auto seed = first; seed < first + count; seed++) {
        if (chosen || !elsewhere.contains(seed)) {
            schedule(seed);
        }
    }
}

/// Seeds whose schedules fail: an order that is still on its way when its worker has restarted reaches the
/// new incarnation before the leader does.
const std::set<std::uint64_t> open_seeds_of_kinds{2};
const std::set<std::uint64_t> open_seeds_of_restarts{14, 26};
constexpr std::uint64_t open_seed_of_few_calls = 947;

} // namespace

TEST_CASE("the guarantees of the dispatcher hold under random faults") {
    run_seeds([](std::uint64_t seed) { run_schedule(seed, 0); }, 40);
}

// Guards against runs that are lost or doubled when orders wait in the leader's host and run out there.
TEST_CASE("the guarantees of the dispatcher hold under random faults on a host that makes few calls") {
    run_seeds([](std::uint64_t seed) { run_schedule(seed, 30); }, 20);
}

// TWICE: a worker that had listed a part of its ends counted as one whose state is known.
TEST_CASE("the guarantees of the dispatcher hold under random faults while workers list few ends at a time") {
    run_seeds([](std::uint64_t seed) { run_schedule(seed, 0, 1 + seed % 3); }, 40);
}

// TWICE: workers restart under the same name while orders to them wait in the leader's host, or while an
// answer of the earlier incarnation is on its way.
TEST_CASE("a restarted worker is not driven by orders and answers of its earlier incarnation") {
    for (const std::uint64_t seed : {362, 461, 2723}) {
        run_schedule(seed, 30);
    }
}

// ROUTE, LIMIT: what the platform's list stated of a former incarnation counted for the one that answers.
TEST_CASE("the guarantees of the dispatcher hold under random faults while workers change their kind") {
    run_seeds(run_schedule_of_kinds, 40, open_seeds_of_kinds);
}

// TWICE: leases of a leader that lives on are counted as expired too early.
TEST_CASE("the guarantees of the dispatcher hold under random faults while leaders follow each other") {
    run_seeds(run_schedule_of_takeovers, 40);
}

// TWICE: runs are stopped and started elsewhere while their workers drain, restart and are cut off.
TEST_CASE("the guarantees of the dispatcher hold under random faults while workers drain") {
    run_seeds(run_draining_schedule, 40);
}

// TWICE: a new incarnation of a worker carries out late orders that were meant for the former one.
TEST_CASE("the guarantees of the dispatcher hold while restarted workers get orders of former incarnations") {
    run_seeds(run_schedule_of_restarts, 40, open_seeds_of_restarts);
}

// TWICE: an order that was sent before a restart was found reaches the new incarnation before it has
// answered.
TEST_CASE("an order on its way to a worker that restarts is not carried out by the next incarnation",
          "[!mayfail]") {
    run_schedule(open_seed_of_few_calls, 30);
    for (const auto seed : open_seeds_of_kinds) {
        run_schedule_of_kinds(seed);
    }
    for (const auto seed : open_seeds_of_restarts) {
        run_schedule_of_restarts(seed);
    }
}

} // namespace rattanmount::tests
