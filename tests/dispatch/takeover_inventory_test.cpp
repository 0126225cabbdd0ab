#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr core::resources worker_capacity{.millicores = 64000, .memory_mb = 262144, .accelerators = 0};
constexpr core::milliseconds work_time{3000};
constexpr std::uint32_t workers = 2;
/// Each worker lists the ends of its half of the job in three answers.
constexpr std::uint32_t tasks = 2000;
constexpr std::size_t max_ends_per_answer = 500;

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 3};
}

workflow::job_request job_of(const std::string& key, std::uint32_t count) {
    workflow::step_request step;
    step.tasks = count;
    step.each = {.millicores = 50, .memory_mb = 64, .accelerators = 0};
    step.estimate = work_time;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

simulated_cell_options cell_options() {
    return {.workers = workers, .capacity = worker_capacity, .max_ends_per_answer = max_ends_per_answer};
}

/// Submits a job of `tasks` tasks, lets all of them start, and stops short of the end of the first one.
void start_tasks(simulated_cell& cell) {
    cell.run_for(1s);
    cell.submit(job_of("a", tasks), plain_queue());
    cell.run_for(work_time - 100ms);
    REQUIRE(cell.started_runs() == tasks);
}

/// Lets all tasks end on workers that the present leader does not reach.
void end_tasks_unseen(simulated_cell& cell) {
    for (std::uint32_t i = 0; i < workers; i++) {
        cell.disconnect_from_leader(i);
    }
    cell.run_for(1s);
    REQUIRE(cell.running_of("a") == 0);
}

/// Starts the job, lets its tasks end unseen, and replaces the leader.
void take_over_after_ends(simulated_cell& cell) {
    start_tasks(cell);
    end_tasks_unseen(cell);
    cell.change_leader();
}

void check_each_task_ran_once(const simulated_cell& cell, std::uint64_t started = tasks) {
    CHECK(cell.started_runs() == started);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

// TWICE: a worker that had listed a part of its ends counted as one whose state is known, and the tasks of
// the other ends were started again. LOST: a hold interval for each answer delayed all tasks that wait.
TEST_CASE("a successor starts no task whose end a worker lists in a later answer") {
    simulated_cell cell{cell_options()};
    take_over_after_ends(cell);
    cell.run_for(240ms); // Less than the shortest pause between two holds that renew a lease.
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    cell.run_for(20s);
    check_each_task_ran_once(cell);
}

TEST_CASE("more ends than a worker lists in one answer are recorded without a pause for each answer") {
    simulated_cell cell{cell_options()};
    start_tasks(cell);
    cell.run_for(10s);
    CHECK(cell.time_taken("a") < work_time + 240ms);
    check_each_task_ran_once(cell);
}

// TWICE: the leases of the former leader expire while the log is away, but those that the successor extends
// keep the workers' ends valid.
TEST_CASE("while the log is away, tasks wait for the ends that their worker has not listed yet") {
    simulated_cell cell{cell_options()};
    auto lasting = job_of("lasting", workers);
    lasting.steps.front().long_running = true;
    lasting.steps.front().most_per_worker = 1;
    cell.run_for(500ms);
    cell.submit(lasting, plain_queue());
    cell.run_for(500ms);
    cell.submit(job_of("a", tasks), plain_queue());
    cell.run_for(work_time - 100ms);
    end_tasks_unseen(cell);
    cell.change_leader();
    cell.set_log_down(true);
    cell.submit(job_of("new", 1), plain_queue());
    cell.run_for(8s);
    CHECK(cell.started_runs() == tasks + workers);
    CHECK(cell.running_of("lasting") == workers);
    cell.set_log_down(false);
    cell.run_for(700ms);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    cell.run_for(10s);
    CHECK(cell.phase_of("new") == workflow::job_phase::completed);
    check_each_task_ran_once(cell, tasks + workers + 1);
}

// TWICE: the roster that the next leader inherits has to name the workers whose ends are not all listed.
TEST_CASE("takeovers that follow each other while workers list their ends start no task twice") {
    const auto interval = GENERATE(10ms, 30ms, 60ms, 100ms);
    CAPTURE(interval.count());
    simulated_cell cell{cell_options()};
    take_over_after_ends(cell);
    for (int i = 0; i < 5; i++) {
        cell.run_for(interval);
        cell.change_leader();
    }
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_each_task_ran_once(cell);
}

TEST_CASE("tasks of a worker that restarts while it lists its ends are started again, and no others") {
    simulated_cell cell{cell_options()};
    take_over_after_ends(cell);
    cell.run_for(30ms);
    cell.restart_worker(0);
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.started_runs() <= tasks + tasks / workers);
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

// TWICE: a worker without runs was forgotten as soon as the platform's list did not have it.
TEST_CASE("the ends of a worker that leaves the platform's list are listed to the last") {
    simulated_cell cell{cell_options()};
    take_over_after_ends(cell);
    cell.run_for(30ms);
    cell.set_listed(0, false);
    cell.current_dispatcher().drop_worker(simulated_cell::worker_name(0));
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_each_task_ran_once(cell);
}

// TWICE: a draining worker left the roster before the log had all of its ends.
TEST_CASE("the ends of a draining worker are listed to the last, also by a second successor") {
    simulated_cell cell{cell_options()};
    start_tasks(cell);
    end_tasks_unseen(cell);
    cell.drain_worker(0, 60s);
    cell.change_leader();
    cell.run_for(60ms);
    cell.change_leader();
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    check_each_task_ran_once(cell);
}

TEST_CASE("a gang whose members' ends are in a later answer is not started again") {
    constexpr std::uint32_t members = 4;
    simulated_cell cell{cell_options()};
    cell.run_for(1s);
    auto gang = job_of("gang", members);
    gang.steps.front().gang = true;
    gang.steps.front().estimate = work_time + 200ms; // Ends after all other tasks.
    cell.submit(gang, plain_queue());
    cell.submit(job_of("a", tasks), plain_queue());
    cell.run_for(work_time - 200ms);
    end_tasks_unseen(cell);
    REQUIRE(cell.running_of("gang") == 0);
    cell.change_leader();
    cell.run_for(20s);
    CHECK(cell.phase_of("a") == workflow::job_phase::completed);
    CHECK(cell.phase_of("gang") == workflow::job_phase::completed);
    check_each_task_ran_once(cell, tasks + members);
}

TEST_CASE("a worker that has answered is settled by its whole inventory or the end of its lease only") {
    const core::steady_time start{1h};
    const core::worker_id name{"w1"};
    dispatch::dispatch_state state;
    state.authority.begin({name}, start);
    auto& worker = state.workers[name];
    CHECK_FALSE(state.is_settled(name, start));
    CHECK(state.is_settled(name, start + 1min));
    worker.answered_holds = 1;
    worker.proven.knows_token = true;
    CHECK_FALSE(state.is_settled(name, start + 1min));
    SECTION("its inventory is complete") {
        worker.proven.inventory_complete = true;
    }
    SECTION("its lease has expired") {
        worker.runs_given_up = true;
    }
    CHECK(state.is_settled(name, start));
}

} // namespace rattanmount::tests
