#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <cstdlib>

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

/// Runs one random schedule of jobs and faults, then a period without new faults in which every job must end.
void run_schedule(std::uint64_t seed) {
    CAPTURE(seed);
    constexpr std::uint32_t workers = 6;
    constexpr std::uint32_t jobs = 25;
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

} // namespace

TEST_CASE("the guarantees of the dispatcher hold under random faults") {
    // RATTANMOUNT_SEEDS=FIRST:COUNT selects other seeds.
    std::uint64_t first = 1;
    std::uint64_t count = 40;
    if (const char* seeds = std::getenv("RATTANMOUNT_SEEDS")) {
        char* rest = nullptr;
        first = std::strtoull(seeds, &rest, 10);
        count = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1;
    }
    for (auto seed = first; seed < first + count; seed++) {
        run_schedule(seed);
    }
}

} // namespace rattanmount::tests
