#include "tests/dispatch/simulated_cell.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t workers = 4;
constexpr core::resources whole_worker{.millicores = 16000, .memory_mb = 64000, .accelerators = 0};
/// The worker that stays out of the platform's list until another worker is lost.
constexpr std::uint32_t spare = workers - 1;
/// The worker that restarts.
constexpr std::uint32_t restarted = 0;
/// The clock of the former incarnation is ahead of the next one's by more than the longest lease.
constexpr core::milliseconds former_lifetime{12000};
/// From the sending of a delayed hold until its worker restarts.
constexpr core::milliseconds until_restart{600};
/// Longer than any of the tests below.
constexpr core::milliseconds long_work{60000};
/// The longest term of a lease on a clock that is 2% slow, with the margin for a stop.
constexpr core::milliseconds longest_lease_time{12000};
/// How long a successor waits for the leases of the former leader at most, if it reaches most workers.
constexpr core::milliseconds usual_takeover_wait{7000};

workflow::queue_policy plain_queue() {
    return {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}, .max_attempts = 3};
}

/// @return a job whose tasks fill a worker each.
workflow::job_request filling_job(const std::string& key, std::uint32_t tasks, core::milliseconds work_time) {
    workflow::step_request step;
    step.tasks = tasks;
    step.each = whole_worker;
    step.estimate = work_time;
    return {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}};
}

void add_spare_worker(simulated_cell& cell) {
    cell.set_listed(spare, true);
}

void remove_spare_worker(simulated_cell& cell) {
    cell.set_listed(spare, false);
    cell.current_dispatcher().drop_worker(simulated_cell::worker_name(spare));
}

/// Fills all workers but the spare one with a task each, so that a lost task can start on its own worker
/// only.
void fill_workers(simulated_cell& cell) {
    remove_spare_worker(cell);
    cell.run_for(former_lifetime);
    cell.submit(filling_job("long", workers - 1, long_work), plain_queue());
    cell.run_for(2s);
    REQUIRE(cell.running_of("long") == workers - 1);
}

/// Runs the cell until the order that delay_next_order() delays has been sent.
void run_until_sent(simulated_cell& cell, order_kind kind, std::uint32_t index) {
    for (int i = 0; i < 1000 && cell.delay_is_pending(kind, index); i++) {
        cell.run_for(5ms);
    }
    REQUIRE_FALSE(cell.delay_is_pending(kind, index));
}

/// Restarts the worker at once; the platform's list has its former incarnation for longer than the test
/// needs.
void restart(simulated_cell& cell) {
    cell.restart_worker_as(restarted, {.capacity = whole_worker}, 2s);
}

void check_guarantees(const simulated_cell& cell) {
    for (const auto& violation : cell.violations()) {
        FAIL_CHECK(violation);
    }
}

} // namespace

// TWICE: a hold for the former incarnation gave the next one the longest lease, and the successor of the
// leader counted with a usual one.
TEST_CASE("a lease meant for a former incarnation counts in full for the next leader") {
    constexpr core::milliseconds before_takeover{2400};
    constexpr core::milliseconds before_cut{600};
    simulated_cell cell{{.workers = workers, .clock_rate = GENERATE(1.0, 0.98)}};
    fill_workers(cell);
    cell.delay_next_order(order_kind::hold, restarted, {.time = 860ms});
    run_until_sent(cell, order_kind::hold, restarted);
    cell.run_for(until_restart);
    restart(cell);
    cell.run_for(before_takeover);
    REQUIRE(cell.running_on(restarted) == 1);
    cell.change_leader();
    cell.run_for(before_cut);
    cell.set_disconnected(restarted, true);
    add_spare_worker(cell);
    cell.run_for(longest_lease_time + usual_takeover_wait - before_takeover - before_cut);
    CHECK(cell.running_on(spare) == 1);
    check_guarantees(cell);
}

// TWICE: a hold for the former incarnation that arrived after the next one had answered extended its lease
// once more.
TEST_CASE("a lease meant for a former incarnation is refused once the next one has answered") {
    constexpr core::milliseconds delay{4000};
    simulated_cell cell{{.workers = workers, .clock_rate = GENERATE(1.0, 0.98)}};
    fill_workers(cell);
    cell.delay_next_order(order_kind::hold, restarted, {.time = delay});
    run_until_sent(cell, order_kind::hold, restarted);
    cell.run_for(until_restart);
    restart(cell);
    cell.run_for(delay - until_restart);
    REQUIRE(cell.running_on(restarted) == 1);
    cell.run_for(20ms);
    cell.set_disconnected(restarted, true);
    add_spare_worker(cell);
    cell.run_for(longest_lease_time + usual_takeover_wait);
    CHECK(cell.running_on(spare) == 1);
    check_guarantees(cell);
}

// TWICE: a start for the former incarnation was carried out by the next one after the task was started
// elsewhere.
TEST_CASE("a start meant for a former incarnation is refused once the next one has answered") {
    constexpr core::milliseconds delay{9000};
    constexpr core::milliseconds absence{7000};
    simulated_cell cell{{.workers = workers}};
    remove_spare_worker(cell);
    cell.run_for(former_lifetime);
    cell.delay_next_order(order_kind::start, restarted, {.time = delay});
    cell.submit(filling_job("long", workers - 1, long_work), plain_queue());
    run_until_sent(cell, order_kind::start, restarted);
    cell.set_disconnected(restarted, true);
    add_spare_worker(cell);
    cell.run_for(absence);
    REQUIRE(cell.running_on(spare) == 1);
    restart(cell);
    cell.set_disconnected(restarted, false);
    cell.run_for(delay - absence + 1s);
    CHECK(cell.running_on(restarted) == 0);
    CHECK(cell.running_of("long") == workers - 1);
    check_guarantees(cell);
}

// TWICE: a hold acknowledged ends of the former incarnation, and the next one forgot an end of its own with
// such a number, which nobody had read.
TEST_CASE("ends of a new incarnation are not lost by an acknowledgement meant for a former one") {
    constexpr core::milliseconds delay{5000};
    constexpr core::milliseconds cut_before{300};
    constexpr core::milliseconds end_before{100};
    constexpr std::uint32_t ends_per_worker = 4;
    simulated_cell cell{{.workers = workers}};
    remove_spare_worker(cell);
    cell.run_for(former_lifetime);
    cell.submit(filling_job("short", (workers - 1) * ends_per_worker, 200ms), plain_queue());
    cell.run_for(4s);
    REQUIRE(cell.phase_of("short") == workflow::job_phase::completed);
    cell.submit(filling_job("long", workers - 1, long_work), plain_queue());
    cell.run_for(2s);
    cell.delay_next_order(order_kind::hold, restarted, {.time = delay});
    run_until_sent(cell, order_kind::hold, restarted);
    const auto arrival = cell.now() + delay;
    cell.work_time = [&](const auto&, const auto& step, std::uint32_t worker) {
        const auto until_end =
            std::chrono::duration_cast<core::milliseconds>(arrival - end_before - cell.now());
        return worker == restarted ? until_end : step.estimate;
    };
    cell.run_for(until_restart);
    restart(cell);
    cell.run_for(delay - until_restart - cut_before);
    REQUIRE(cell.running_on(restarted) == 1);
    const auto started = cell.started_runs();
    cell.set_disconnected(restarted, true);
    cell.run_for(cut_before);
    REQUIRE(cell.running_on(restarted) == 0);
    cell.run_for(cut_before);
    cell.set_disconnected(restarted, false);
    cell.run_for(10s);
    CHECK(cell.started_runs() == started);
    check_guarantees(cell);
}

// FAULT: a leader whose orders from before a restart are refused gave up leading, as if another one had
// replaced it.
TEST_CASE("a leader goes on leading when a restarted worker refuses its earlier orders") {
    constexpr core::milliseconds delay{3000};
    simulated_cell cell{{.workers = workers}};
    remove_spare_worker(cell);
    cell.run_for(former_lifetime);
    const auto kind = GENERATE(order_kind::start, order_kind::stop);
    cell.delay_next_order(kind, restarted, {.time = delay, .answered = true});
    cell.submit(filling_job("long", workers - 1, long_work), plain_queue());
    if (kind == order_kind::stop) {
        cell.run_for(1s);
        cell.cancel(workflow::job_key{"long"});
    }
    run_until_sent(cell, kind, restarted);
    restart(cell);
    cell.run_for(delay + 1s);
    CHECK_FALSE(cell.current_dispatcher().fenced());
    cell.submit(filling_job("next", 1, 500ms), plain_queue());
    add_spare_worker(cell);
    cell.run_for(5s);
    CHECK(cell.running_of("long") == (kind == order_kind::start ? workers - 1 : 0));
    CHECK(cell.phase_of("next") == workflow::job_phase::completed);
    check_guarantees(cell);
}

} // namespace rattanmount::tests
