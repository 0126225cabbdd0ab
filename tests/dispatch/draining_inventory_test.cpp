#include "dispatch/dispatcher.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace dispatch;

const core::worker_id worker{"w1"};
constexpr worker_incarnation_id incarnation{1};
constexpr core::epoch_id epoch{2};

/// A successor that takes over one draining worker, with a job of two tasks; holds are collected.
struct successor_fixture {
    std::vector<hold_order> holds;
    core::steady_time now{1h};
    workflow::cell_state cell;
    dispatcher leader{{.hooks = {.start = [](const start_order&) {},
                                 .stop = [](const stop_order&) {},
                                 .hold = [this](const hold_order& order) { this->holds.push_back(order); },
                                 .pace = [](const pace_order&) {},
                                 .advise = [](const advice_order&) {}}}};

    successor_fixture() {
        workflow::step_request step;
        step.tasks = 3;
        const workflow::job_accepted job{
            .request = {.key = workflow::job_key{"a"}, .queue = workflow::queue_id{"queue"}, .steps = {step}},
            .policy = {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}}};
        this->cell.apply(job, core::log_offset{1}, this->now);
        this->cell.apply(workflow::roster_record{{worker}}, core::log_offset{2}, this->now);
        this->leader.set_worker_list({{.worker = worker,
                                       .incarnation = incarnation,
                                       .service = core::service_id{"service"},
                                       .draining = true}},
                                     this->now);
        this->leader.start_leading(epoch, this->cell, this->now, this->now);
        this->advance();
    }

    void advance() {
        this->now += 600ms;
        this->leader.confirm_leadership(this->now);
        this->leader.run(this->now, core::system_time{});
    }

    void answer_hold(std::uint64_t end, bool lists_all_ends) {
        const workflow::run_name run{
            .task = {.step = {.job = workflow::job_key{"a"}}, .index = static_cast<std::uint32_t>(end - 1)},
            .run = 1};
        hold_reply reply{.answered = true,
                         .incarnation = incarnation,
                         .ended = {{.number = end, .run = run, .outcome = run_outcome::done}},
                         .lists_all_ends = lists_all_ends};
        reply.received_at = this->now;
        this->leader.on_hold_reply(this->holds.back(), reply, this->now);
    }

    [[nodiscard]] bool drops_worker_from_roster() {
        const auto roster = this->leader.take_roster(this->now);
        return roster && !roster->workers.contains(worker);
    }
};

} // namespace

// TWICE: a draining worker left the roster because a batch of progress had been stored, although the log had
// only those of its ends that it had listed by then. The next leader would not have waited for the others.
TEST_CASE("a draining worker stays in the roster until the log has all of its ends") {
    successor_fixture host;
    REQUIRE(host.holds.size() == 1);
    host.answer_hold(1, false);
    const auto first = host.leader.take_progress(host.now);
    REQUIRE(first);
    host.leader.progress_recorded(*first);
    host.advance();
    REQUIRE(host.holds.size() == 2);
    CHECK(host.holds.back().acknowledged_ends == 1);
    host.answer_hold(2, true);
    const auto second = host.leader.take_progress(host.now);
    REQUIRE(second);
    CHECK_FALSE(host.drops_worker_from_roster());
    host.leader.progress_recorded(*second);
    host.advance();
    CHECK(host.drops_worker_from_roster());
}

} // namespace rattanmount::tests
