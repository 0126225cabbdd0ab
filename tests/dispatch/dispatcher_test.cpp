#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 2};
}

workflow::step_request small_step(std::uint32_t tasks, core::milliseconds estimate) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
    step.estimate = estimate;
    return step;
}

workflow::job_request job(const std::string& key, std::vector<workflow::step_request> steps) {
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = std::move(steps)};
}

/// A task that is to last may be down for 3 s; the rule counts them from 4 s after the last disturbance.
constexpr core::milliseconds longest_calm_gap{7000};
/// Least time between a worker's announcement that it leaves and its departure.
constexpr core::milliseconds notice_of_departure{2000};

workflow::job_request two_steps(const std::string& key) {
    auto second = small_step(3, 300ms);
    second.after = {0};
    return job(key, {small_step(4, 500ms), second});
}

} // namespace

TEST_CASE("the steps of a job run in order and the job completes") {
    simulated_cell cell{{}};
    cell.submit(two_steps("a"), plain_queue());
    cell.run_for(2s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() == 7);
    CHECK(cell.time_taken("a") < 1s);
    CHECK(cell.violations().empty());
}

TEST_CASE("tasks that exceed the capacity of the workers wait and are all run") {
    simulated_cell cell{{.workers = 2}};
    cell.submit(job("a", {small_step(100, 200ms)}), plain_queue());
    cell.run_for(5s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("a job fails when a task reaches the maximum number of attempts") {
    simulated_cell cell{{}};
    cell.fails = [](const workflow::run_name& run, std::uint32_t) { return run.task.index == 1; };
    cell.submit(job("a", {small_step(3, 100ms)}), plain_queue());
    cell.run_for(2s);
    CHECK(cell.phase_of("a") == workflow::job_phase::failed);
    CHECK(cell.started_runs() == 4);
}

TEST_CASE("the tasks of a cancelled job are stopped") {
    simulated_cell cell{{}};
    cell.submit(job("a", {small_step(3, 60s)}), plain_queue());
    cell.run_for(1s);
    CHECK(cell.running_of("a") == 3);
    cell.cancel(workflow::job_key{"a"});
    cell.run_for(1s);
    CHECK(cell.running_of("a") == 0);
    CHECK(cell.phase_of("a") == workflow::job_phase::cancelled);
}

TEST_CASE("a new leader adopts running tasks and starts none twice") {
    simulated_cell cell{{}};
    cell.submit(two_steps("a"), plain_queue());
    cell.run_for(200ms);
    cell.change_leader();
    cell.run_for(2s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() == 7);
    CHECK(cell.violations().empty());
}

TEST_CASE(
    "failures that a former leader could not record are counted, in whatever order workers report them") {
    simulated_cell cell{{.workers = 4}};
    cell.fails = [](const workflow::run_name&, std::uint32_t) { return true; };
    auto policy = plain_queue();
    policy.max_attempts = 3;
    cell.run_for(100ms);
    cell.set_log_down(true);
    cell.submit(job("a", {small_step(1, 400ms)}), policy);
    cell.run_for(1s); // Two runs have failed on different workers, and a third is running.
    REQUIRE(cell.started_runs() == 3);
    cell.set_disconnected(0, true);
    cell.change_leader();
    cell.set_log_down(false);
    cell.run_for(600ms);
    cell.set_disconnected(0, false);
    cell.run_for(4s);
    CHECK(cell.phase_of("a") == workflow::job_phase::failed);
    CHECK(cell.started_runs() == 3);
    CHECK(cell.violations().empty());
}

TEST_CASE("a new leader waits for workers whose list entries expired during a log outage") {
    simulated_cell cell{{.workers = 3}};
    cell.run_for(100ms);
    cell.set_log_down(true);
    cell.submit(job("a", {small_step(1, 400ms), small_step(1, 60s)}), plain_queue());
    cell.run_for(1s); // The first step is done, but this is not recorded.
    const auto before = cell.started_runs();
    for (std::uint32_t i = 0; i < 2; i++) {
        cell.set_listed(i, false);
    }
    cell.change_leader(2500ms);
    cell.set_log_down(false);
    cell.run_for(1500ms);
    cell.set_listed(0, true);
    cell.set_listed(1, true);
    cell.run_for(3s);
    CHECK(cell.started_runs() == before);
    CHECK(cell.violations().empty());
}

// TWICE: a worker's entry can expire while the log answers reads but not all writes; the successor took the
// worker for gone, and started a task again whose end was still listed there.
TEST_CASE("a new leader waits for a live worker that is missing from the platform's list") {
    simulated_cell cell{{.workers = 3}};
    std::uint32_t worker = 0;
    cell.work_time = [&](const workflow::task_name&, const workflow::step_request& step,
                         std::uint32_t started_on) {
        worker = started_on;
        return step.estimate;
    };
    cell.run_for(100ms);
    cell.set_log_down(true);
    cell.submit(job("a", {small_step(1, 400ms)}), plain_queue());
    cell.run_for(1s); // The task is done, but neither its start nor its end is recorded.
    REQUIRE(cell.started_runs() == 1);
    cell.set_listed(worker, false);
    cell.change_leader();
    cell.set_log_down(false);
    cell.run_for(1500ms);
    cell.set_listed(worker, true);
    cell.run_for(3s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() == 1);
    CHECK(cell.violations().empty());
}

// TWICE: the first successor dropped the missing worker from the roster, so that the second did not wait for
// it.
TEST_CASE("a worker that no successor has reached stays in the roster") {
    simulated_cell cell{{.workers = 3}};
    std::uint32_t worker = 0;
    cell.work_time = [&](const workflow::task_name&, const workflow::step_request& step,
                         std::uint32_t started_on) {
        worker = started_on;
        return step.estimate;
    };
    cell.run_for(100ms);
    cell.set_log_down(true);
    cell.submit(job("a", {small_step(1, 3s)}), plain_queue());
    cell.run_for(300ms); // The task runs, but this is not recorded.
    REQUIRE(cell.started_runs() == 1);
    cell.set_listed(worker, false);
    cell.change_leader();
    cell.set_log_down(false);
    cell.run_for(300ms);
    cell.change_leader();
    cell.run_for(1s);
    cell.set_listed(worker, true);
    cell.run_for(3s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() == 1);
    CHECK(cell.violations().empty());
}

// SHORT: after a takeover everything that waited stood still because a worker had left as announced.
TEST_CASE("a new leader does not wait for a worker that drained before it left") {
    simulated_cell cell{{.workers = 3}};
    auto last = two_steps("a");
    last.steps[1].each.millicores = 500;
    cell.run_for(1s);
    cell.submit(last, plain_queue());
    cell.drain_worker(2);
    cell.run_for(450ms);
    cell.set_disconnected(2, true);
    cell.set_listed(2, false);
    cell.change_leader();
    cell.run_for(1200ms);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

// SHORT: after a takeover no worker got runs before the new leader had recorded the roster again.
TEST_CASE("a new leader uses the workers of the recorded roster while the log is down") {
    simulated_cell cell{{.workers = 3}};
    cell.run_for(1s);
    cell.change_leader();
    cell.set_log_down(true);
    cell.submit(job("a", {small_step(3, 60s)}), plain_queue());
    cell.run_for(1s);
    CHECK(cell.running_of("a") == 3);
    CHECK(cell.violations().empty());
}

// SHORT: an entry of the platform's list that never answers held back all inherited tasks at each takeover.
TEST_CASE("a new leader does not wait for a listed worker that no leader has reached") {
    simulated_cell cell{{.workers = 3}};
    cell.set_disconnected(2, true);
    cell.run_for(1s);
    cell.submit(two_steps("a"), plain_queue());
    cell.run_for(300ms);
    cell.change_leader();
    cell.run_for(1200ms);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("a new leader continues at once after a log outage if no worker is missing") {
    simulated_cell cell{{.workers = 3}};
    cell.submit(two_steps("a"), plain_queue());
    cell.run_for(100ms);
    cell.change_leader(2500ms);
    cell.run_for(1200ms);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("tasks on an unreachable worker are started elsewhere once its lease has expired") {
    simulated_cell cell{{.workers = 2}};
    cell.submit(job("a", {small_step(20, 6s)}), plain_queue());
    cell.run_for(1s);
    cell.set_disconnected(0, true);
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("runs are given up only after a hold sent after the lease expiry has failed") {
    simulated_cell cell{{.workers = 2}};
    cell.submit(job("a", {small_step(20, 1500ms)}), plain_queue());
    cell.run_for(400ms);
    // The next hold is lost at the leader for longer than the lease term, and the runs end meanwhile.
    cell.stall_holds(0, 7s);
    cell.run_for(2s);
    cell.stall_holds(0, 0ms);
    cell.run_for(10s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() == 20);
    CHECK(cell.violations().empty());
}

TEST_CASE("tasks of a worker that restarts under the same name are started again") {
    simulated_cell cell{{.workers = 2}};
    cell.submit(job("a", {small_step(20, 3s)}), plain_queue());
    cell.run_for(1s);
    cell.restart_worker(0);
    cell.run_for(8s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("all tasks of a gang start together and the gang completes") {
    simulated_cell cell{{.workers = 2}};
    auto step = small_step(20, 500ms);
    step.gang = true;
    cell.submit(job("filler", {small_step(20, 700ms)}), plain_queue());
    cell.run_for(50ms);
    cell.submit(job("gang", {step}), plain_queue());
    cell.run_for(400ms);
    CHECK(cell.running_of("gang") == 0);
    cell.run_for(3s);
    CHECK(cell.phase_of("gang") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("long-running tasks that are lost are started again") {
    simulated_cell cell{{.workers = 2}};
    auto step = small_step(6, 0ms);
    step.long_running = true;
    cell.submit(job("a", {step}), plain_queue());
    cell.run_for(1s);
    CHECK(cell.running_of("a") == 6);
    cell.restart_worker(0);
    cell.run_for(3s);
    CHECK(cell.running_of("a") == 6);
    CHECK(cell.violations().empty());
}

// LOST: a task that is to last stayed down for the longest lease after a takeover, although its worker had
// left.
TEST_CASE("a successor restarts a long-running task whose worker left before the takeover") {
    simulated_cell cell{{.workers = 4}};
    std::uint32_t worker = 0;
    cell.work_time = [&](const workflow::task_name&, const workflow::step_request& step,
                         std::uint32_t started_on) {
        worker = started_on;
        return step.estimate;
    };
    auto step = small_step(1, 0ms);
    step.long_running = true;
    cell.submit(job("a", {step}), plain_queue());
    cell.run_for(1s);
    cell.set_disconnected(worker, true);
    cell.set_listed(worker, false);
    cell.run_for(3500ms); // The leader has not given up the run yet.
    cell.change_leader();
    cell.run_for(longest_calm_gap);
    CHECK(cell.running_of("a") == 1);
    CHECK(cell.started_runs() == 2);
    CHECK(cell.violations().empty());
}

// LOST: as above, in a cell of the size to design for.
TEST_CASE("a successor restarts the long-running tasks of 80 of 800 workers that left before the takeover") {
    constexpr std::uint32_t workers = 800;
    constexpr std::uint32_t leaving = 80;
    constexpr std::uint32_t jobs = 100;
    constexpr std::uint32_t tasks = 8;
    simulated_cell cell{{.workers = workers}};
    auto step = small_step(tasks, 0ms);
    step.long_running = true;
    for (std::uint32_t i = 0; i < jobs; i++) {
        cell.submit(job("a" + std::to_string(i), {step}), plain_queue());
    }
    cell.run_for(2s);
    for (std::uint32_t i = 0; i < leaving; i++) {
        cell.set_disconnected(i, true);
        cell.set_listed(i, false);
    }
    cell.run_for(3500ms);
    cell.change_leader();
    cell.run_for(longest_calm_gap);
    std::size_t running = 0;
    for (std::uint32_t i = 0; i < jobs; i++) {
        running += cell.running_of("a" + std::to_string(i));
    }
    CHECK(running == std::size_t{jobs} * tasks);
    CHECK(cell.violations().empty());
}

// LOST: a worker that announced its departure kept its long-running tasks until it left.
TEST_CASE("long-running tasks are moved off a draining worker before it leaves") {
    simulated_cell cell{{.workers = 4}};
    std::vector<std::uint32_t> placed;
    cell.work_time = [&](const workflow::task_name&, const workflow::step_request& step,
                         std::uint32_t started_on) {
        placed.push_back(started_on);
        return step.estimate;
    };
    auto step = small_step(6, 0ms);
    step.long_running = true;
    cell.submit(job("a", {step}), plain_queue());
    cell.run_for(1s);
    REQUIRE(placed.size() == 6);
    const auto leaving = placed.front();
    cell.drain_worker(leaving);
    cell.run_for(notice_of_departure);
    cell.set_disconnected(leaving, true);
    cell.set_listed(leaving, false);
    CHECK(cell.running_on(leaving) == 0);
    CHECK(cell.running_of("a") == 6);
    CHECK(cell.violations().empty());
}

TEST_CASE("tasks of a queue with advice start only on allowed workers") {
    simulated_cell cell{{.allowed_share = 0.4}};
    auto policy = plain_queue();
    policy.advice = workflow::advice_policy{.base_time = 30ms, .ticket_lifetime = 2500ms};
    cell.submit(two_steps("a"), policy);
    cell.run_for(3s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.violations().empty());
}

TEST_CASE("a worker on which all runs fail gets no tasks, even if only such workers have capacity") {
    simulated_cell cell{{.workers = 6}};
    std::set<std::uint32_t> busy;
    cell.work_time = [&](const workflow::task_name& task, const workflow::step_request& step,
                         std::uint32_t worker) {
        if (task.step.job.value() == "long") {
            busy.insert(worker);
        }
        return step.estimate;
    };
    cell.submit(job("long", {small_step(64, 3s)}), plain_queue());
    cell.run_for(500ms);
    REQUIRE(busy.size() == 4);
    cell.fails = [&](const workflow::run_name&, std::uint32_t worker) { return !busy.contains(worker); };
    constexpr int jobs = 8;
    for (int i = 0; i < jobs; i++) {
        cell.submit(job("a" + std::to_string(i), {small_step(8, 100ms)}), plain_queue());
        cell.run_for(150ms);
    }
    cell.run_for(6s);
    int completed = 0;
    for (int i = 0; i < jobs; i++) {
        completed += cell.phase_of("a" + std::to_string(i)) == workflow::job_phase::completed ? 1 : 0;
    }
    CHECK(completed >= jobs - 2);
    CHECK(cell.violations().empty());
}

TEST_CASE("tasks that fail on all workers do not make workers suspected") {
    simulated_cell cell{{.workers = 6}};
    cell.fails = [](const workflow::run_name& run, std::uint32_t) {
        return run.task.step.job.value() == "bad";
    };
    cell.submit(job("bad", {small_step(96, 100ms)}), plain_queue());
    cell.run_for(300ms);
    cell.submit(job("good", {small_step(96, 100ms)}), plain_queue());
    cell.run_for(1s);
    CHECK(cell.phase_of("bad") == workflow::job_phase::failed);
    CHECK(cell.phase_of("good") == workflow::job_phase::completed);
}

// Guards against a worker that is never used again after an entry of another writer under its name stated a
// start of its in the far future.
TEST_CASE(
    "a worker is called where its newest entry says unless the worker itself reported a later incarnation") {
    std::vector<dispatch::hold_order> holds;
    dispatch::dispatcher dispatcher{
        {.hooks = {.hold = [&](const dispatch::hold_order& order) { holds.push_back(order); }}}};
    core::steady_time now{1h};
    const auto entry = [](std::uint64_t incarnation, std::uint16_t port) {
        return dispatch::worker_entry{.worker = core::worker_id{"w"},
                                      .incarnation = dispatch::worker_incarnation_id{incarnation},
                                      .address = {.address = "10.0.0.9", .port = port, .path = ""}};
    };
    const auto next_hold = [&] {
        now += 1s;
        dispatcher.run(now, {});
        return holds.back();
    };
    dispatcher.set_worker_list({entry(1ULL << 53U, 1)}, now);
    dispatcher.start_leading(core::epoch_id{1}, workflow::cell_state{}, now, now);
    CHECK(next_hold().target.address.port == 1);
    dispatcher.set_worker(entry(7, 2), now);
    dispatcher.on_hold_reply(holds.back(), {}, now);
    CHECK(next_hold().target.address.port == 2);
    CHECK(holds.back().target.incarnation == dispatch::worker_incarnation_id{7});
    dispatcher.on_hold_reply(holds.back(),
                             {.answered = true, .incarnation = dispatch::worker_incarnation_id{7}}, now);
    dispatcher.set_worker(entry(6, 3), now);
    CHECK(next_hold().target.address.port == 2);
    dispatcher.on_hold_reply(holds.back(), {}, now);
    dispatcher.set_worker(entry(1ULL << 53U, 4), now);
    CHECK(next_hold().target.address.port == 4);
    dispatcher.on_hold_reply(holds.back(), {}, now);
    dispatcher.set_worker(entry(7, 2), now);
    CHECK(next_hold().target.address.port == 2);
}

} // namespace rattanmount::tests
