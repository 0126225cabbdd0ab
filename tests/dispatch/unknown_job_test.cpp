#include "dispatch/dispatcher.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace dispatch;

const workflow::run_name run{.task = {.step = {.job = workflow::job_key{"a"}}}, .run = 1};
const core::worker_id worker{"w1"};
constexpr worker_incarnation_id incarnation{1};

/// A dispatcher that leads one worker; its orders are collected.
struct leader_fixture {
    std::vector<hold_order> holds;
    std::vector<start_order> starts;
    core::steady_time now{1h};
    workflow::cell_state cell;
    dispatcher leader{{.hooks = {.start = [this](const start_order& order) { this->starts.push_back(order); },
                                 .stop = [](const stop_order&) {},
                                 .hold = [this](const hold_order& order) { this->holds.push_back(order); },
                                 .pace = [](const pace_order&) {},
                                 .advise = [](const advice_order&) {}}}};

    leader_fixture() {
        constexpr core::resources capacity{.millicores = 4000, .memory_mb = 4000, .accelerators = 0};
        this->leader.set_worker_list({{.worker = worker,
                                       .incarnation = incarnation,
                                       .service = core::service_id{"service"},
                                       .capacity = capacity}},
                                     this->now);
        this->leader.start_leading(core::epoch_id{2}, this->cell, this->now, this->now);
        this->advance();
    }

    void advance() {
        this->now += 200ms;
        this->leader.confirm_leadership(this->now);
        this->leader.run(this->now, core::system_time{});
        if (const auto roster = this->leader.take_roster(this->now)) {
            this->leader.roster_recorded(core::epoch_id{2}, *roster);
        }
        if (const auto batch = this->leader.take_progress(this->now)) {
            this->leader.progress_recorded(*batch);
        }
    }

    [[nodiscard]] std::uint64_t acknowledged_after_answer() {
        this->advance();
        this->answer_hold({});
        this->advance();
        return this->holds.back().acknowledged_ends;
    }

    void answer_hold(std::vector<reported_end> ended) {
        hold_reply reply{
            .answered = true, .incarnation = incarnation, .ended = std::move(ended), .lists_all_ends = true};
        reply.received_at = this->now;
        this->leader.on_hold_reply(this->holds.back(), reply, this->now);
    }

    void accept(const std::string& key) {
        workflow::step_request step;
        step.tasks = 1;
        step.each = {.millicores = 1000, .memory_mb = 1000, .accelerators = 0};
        const workflow::job_accepted record{
            .request = {.key = workflow::job_key{key}, .queue = workflow::queue_id{"queue"}, .steps = {step}},
            .policy = {.queue = workflow::queue_id{"queue"}, .service = core::service_id{"service"}}};
        this->cell.apply(record, core::log_offset{1}, this->now);
        this->leader.add_job(*this->cell.find(workflow::job_key{key}));
    }
};

} // namespace

// TWICE: a former leader may run a task of a job whose acceptance its successor has not read yet. The end was
// acknowledged without effect, and the task was started again once the acceptance was read.
TEST_CASE("the end of a task of a job that the leader has not read yet is not lost") {
    leader_fixture host;
    REQUIRE(host.holds.size() == 1);
    host.answer_hold({{.number = 1, .run = run, .outcome = run_outcome::done}});
    CHECK(host.acknowledged_after_answer() == 0);
    host.accept("a");
    CHECK(host.acknowledged_after_answer() == 1);
    CHECK(host.starts.empty());
}

TEST_CASE("the end of a task of a job that does not exist is acknowledged once the log has been read") {
    leader_fixture host;
    host.answer_hold({{.number = 1, .run = run, .outcome = run_outcome::done}});
    host.leader.on_log_read(host.now);
    CHECK(host.acknowledged_after_answer() == 0);
    host.leader.on_log_read(host.now);
    CHECK(host.acknowledged_after_answer() == 1);
}

} // namespace rattanmount::tests
