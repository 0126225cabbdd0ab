#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

workflow::queue_policy queue_of(std::uint32_t priority) {
    return {.queue = workflow::queue_id{"queue"},
            .service = core::service_id{"service"},
            .priority = priority,
            .max_attempts = 2,
            .stretch = 1.5,
            .latency_goal = 300ms};
}

workflow::job_request random_job(const std::string& key, std::mt19937_64& random) {
    workflow::step_request step;
    step.tasks = 1 + static_cast<std::uint32_t>(random() % 3);
    step.each = {.millicores = 500 + static_cast<std::int64_t>(random() % 6000),
                 .memory_mb = 500 + static_cast<std::int64_t>(random() % 20000),
                 .accelerators = 0};
    step.estimate = core::milliseconds{200 + random() % 2000};
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

} // namespace

TEST_CASE("the explained worker is the one on which the first task then starts, in 1,000 random states") {
    constexpr int states = 1000;
    constexpr core::milliseconds between_placements{4};
    simulated_cell cell{{.seed = 7, .workers = 8, .failing_share = 0.1}};
    std::vector<dispatch::start_order> starts;
    cell.start_sent = [&](const dispatch::start_order& order) { starts.push_back(order); };
    int compared = 0;
    cell.run_for(500ms);
    for (int i = 0; i < states; i++) {
        const auto job = random_job("j" + std::to_string(i), cell.random());
        const auto policy = queue_of(static_cast<std::uint32_t>(i % 3));
        starts.clear();
        const auto placed_at = cell.now() + between_placements;
        const auto explanation = cell.current_dispatcher().explain(
            {.request = job, .policy = policy, .accepted_at = {}}, placed_at);
        CHECK(starts.empty());
        cell.submit(job, policy);
        cell.current_dispatcher().run(placed_at, core::system_time{placed_at.time_since_epoch()});
        // Steps that waited before it may have taken room in the same round.
        if (!starts.empty() && starts.front().run.task.step.job == job.key) {
            REQUIRE_FALSE(explanation.candidates.empty());
            CHECK(starts.front().target.worker == explanation.candidates.front().worker);
            compared++;
        }
        cell.run_for(core::milliseconds{5 + cell.random()() % 400});
    }
    CHECK(compared > states / 2);
}

TEST_CASE("an explanation names what a job waits for") {
    simulated_cell cell{{.workers = 2}};
    cell.run_for(500ms);
    auto job = random_job("a", cell.random());
    SECTION("no worker is large enough") {
        job.steps[0].each.millicores = 64000;
    }
    SECTION("no worker has the label") {
        job.steps[0].required_label = workflow::worker_label{"missing"};
    }
    const auto explanation = cell.current_dispatcher().explain(
        {.request = job, .policy = queue_of(0), .accepted_at = {}}, cell.now());
    CHECK(explanation.known_workers == 2);
    CHECK(explanation.fitting_workers == 0);
    CHECK(explanation.waits_for.size() == 1);
}

} // namespace rattanmount::tests
