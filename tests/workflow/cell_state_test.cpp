#include "workflow/cell_state.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace workflow;

constexpr core::steady_time start{};

job_accepted accepted(const std::string& key) {
    job_accepted record;
    record.request = {.key = job_key{key}, .queue = queue_id{"queue"}, .steps = {step_request{}}};
    return record;
}

job_progress progress(const std::string& key, job_phase phase) {
    return {.key = job_key{key}, .phase = phase};
}

/// A part of the progress of a job, with one task that is done.
part_progress part(const std::string& key, const part_id& id) {
    return {.key = job_key{key},
            .part = id,
            .steps = {{.occurrence = id.occurrence, .step = 0, .first = 0, .done = {true}}}};
}

constexpr part_id second_part{.occurrence = 0, .number = 1};
constexpr part_id third_part{.occurrence = 0, .number = 2};

} // namespace

TEST_CASE("parts of the progress of a job are kept until they are deleted") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(part("a", second_part), core::log_offset{2}, start);
    state.apply(part("a", third_part), core::log_offset{3}, start);
    state.apply(job_progress{.key = job_key{"a"}, .phase = job_phase::running, .in_parts = true},
                core::log_offset{4}, start);
    const auto& parts = state.find(job_key{"a"})->parts;
    CHECK(parts.size() == 2);
    CHECK(parts.at(second_part).steps == part("a", second_part).steps);
    state.apply(part_progress{.key = job_key{"a"}, .part = second_part}, core::log_offset{5}, start);
    CHECK(parts.size() == 1);
}

TEST_CASE("parts that are read before their job take effect") {
    cell_state state;
    state.apply(part("a", second_part), core::log_offset{1}, start);
    state.apply(part("a", third_part), core::log_offset{2}, start);
    state.apply(part_progress{.key = job_key{"a"}, .part = third_part}, core::log_offset{3}, start);
    state.apply(accepted("a"), core::log_offset{4}, start);
    CHECK(state.find(job_key{"a"})->parts.contains(second_part));
    CHECK_FALSE(state.find(job_key{"a"})->parts.contains(third_part));
}

// TWICE: a record of a former version holds the whole progress, so older parts must not override it.
TEST_CASE("a record that holds the whole progress of a job replaces its parts, which stay known") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(part("a", second_part), core::log_offset{2}, start);
    const auto phase = GENERATE(job_phase::running, job_phase::completed);
    state.apply(progress("a", phase), core::log_offset{3}, start);
    const auto& parts = state.find(job_key{"a"})->parts;
    REQUIRE(parts.contains(second_part));
    CHECK(parts.at(second_part).steps.empty());
}

TEST_CASE("parts of a job whose acceptance is gone from the log stay known until they are deleted") {
    cell_state state;
    state.apply(part("a", second_part), core::log_offset{1}, start);
    state.apply(progress("a", job_phase::completed), core::log_offset{2}, start);
    CHECK(state.find(job_key{"a"})->parts.contains(second_part));
}

TEST_CASE("a repeated acceptance has no effect") {
    cell_state state;
    CHECK(state.apply(accepted("a"), core::log_offset{1}, start).what == state_change::kind::accepted);
    CHECK(state.apply(accepted("a"), core::log_offset{2}, start).what == state_change::kind::nothing);
    CHECK(state.find(job_key{"a"})->offset == core::log_offset{1});
}

TEST_CASE("jobs learned at the same offset have different arrival numbers") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(accepted("b"), core::log_offset{1}, start);
    CHECK(state.find(job_key{"a"})->arrival < state.find(job_key{"b"})->arrival);
}

TEST_CASE("a cancellation that is read before its job takes effect") {
    cell_state state;
    state.apply(job_cancelled{job_key{"a"}}, core::log_offset{1}, start);
    state.apply(accepted("a"), core::log_offset{2}, start);
    CHECK(state.find(job_key{"a"})->phase() == job_phase::cancelled);
}

TEST_CASE("progress that is read before its job takes effect") {
    cell_state state;
    state.apply(progress("a", job_phase::completed), core::log_offset{1}, start);
    state.apply(accepted("a"), core::log_offset{2}, start);
    CHECK(state.find(job_key{"a"})->phase() == job_phase::completed);
}

TEST_CASE("a cancellation after the end of its job has no effect") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(progress("a", job_phase::completed), core::log_offset{2}, start);
    state.apply(job_cancelled{job_key{"a"}}, core::log_offset{3}, start);
    CHECK(state.find(job_key{"a"})->phase() == job_phase::completed);
}

TEST_CASE("pending counts the jobs of a queue that wait for their first start") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(accepted("b"), core::log_offset{2}, start);
    state.apply(progress("b", job_phase::running), core::log_offset{3}, start);
    CHECK(state.pending(queue_id{"queue"}) == 1);
    CHECK(state.pending(queue_id{"other"}) == 0);
}

TEST_CASE("ended jobs and cancellations of unknown jobs expire after the retention time") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(accepted("b"), core::log_offset{2}, start);
    state.apply(progress("a", job_phase::failed), core::log_offset{3}, start + 1s);
    state.apply(job_cancelled{job_key{"c"}}, core::log_offset{4}, start + 1s);
    CHECK(state.expired(start + 10s, 10s).empty());
    CHECK(state.expired(start + 11s, 10s) == std::vector{job_key{"a"}, job_key{"c"}});
    state.apply(job_forgotten{job_key{"a"}}, core::log_offset{5}, start + 11s);
    CHECK(state.find(job_key{"a"}) == nullptr);
}

TEST_CASE("a leader record of an earlier epoch has no effect") {
    cell_state state;
    state.apply(leader_record{.epoch = core::epoch_id{2}, .leader = core::incarnation_id{"x"}},
                core::log_offset{1}, start);
    state.apply(leader_record{.epoch = core::epoch_id{1}, .leader = core::incarnation_id{"y"}},
                core::log_offset{2}, start);
    CHECK(state.leader().leader == core::incarnation_id{"x"});
}

TEST_CASE("a closed job keeps its phase but not its steps") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(progress("a", job_phase::completed), core::log_offset{2}, start);
    state.apply(job_closed{job_key{"a"}}, core::log_offset{3}, start);
    CHECK(state.find(job_key{"a"})->phase() == job_phase::completed);
    CHECK(state.find(job_key{"a"})->accepted.request.steps.empty());
}

TEST_CASE("an acceptance is a repeat if only the outcome of the closed job has been read") {
    cell_state state;
    state.apply(progress("a", job_phase::completed), core::log_offset{2}, start);
    REQUIRE(state.find(job_key{"a"}) != nullptr);
    CHECK(state.apply(accepted("a"), core::log_offset{4}, start).what == state_change::kind::nothing);
    CHECK(state.find(job_key{"a"})->phase() == job_phase::completed);
    CHECK(state.expired(start + 11s, 10s) == std::vector{job_key{"a"}});
}

TEST_CASE("closing a job that has not ended has no effect") {
    cell_state state;
    state.apply(accepted("a"), core::log_offset{1}, start);
    state.apply(job_closed{job_key{"a"}}, core::log_offset{2}, start);
    CHECK(state.find(job_key{"a"})->accepted.request.steps.size() == 1);
}

TEST_CASE("only the team of a job cancels it, also if the cancellations are read first") {
    cell_state state;
    auto record = accepted("a");
    record.team = core::team_id{"owner"};
    const bool cancellation_first = GENERATE(false, true);
    const job_cancelled foreign{.key = job_key{"a"}, .team = core::team_id{"other"}};
    if (cancellation_first) {
        state.apply(foreign, core::log_offset{1}, start);
        state.apply(record, core::log_offset{2}, start);
    } else {
        state.apply(record, core::log_offset{1}, start);
        state.apply(foreign, core::log_offset{2}, start);
    }
    CHECK(state.find(job_key{"a"})->phase() == job_phase::queued);
    state.apply(job_cancelled{.key = job_key{"a"}, .team = record.team}, core::log_offset{3}, start);
    CHECK(state.find(job_key{"a"})->phase() == job_phase::cancelled);
}

// TWICE: a leader in between that has not recorded a worker as unreached may have granted leases on it.
TEST_CASE("a worker counts as unreached since the first of the rosters of consecutive epochs that name it") {
    const core::worker_id worker{"w"};
    const auto roster = [&](std::uint64_t epoch) {
        return roster_record{.workers = {worker}, .epoch = core::epoch_id{epoch}, .unreached = {worker}};
    };
    cell_state state;
    state.apply(roster(5), core::log_offset{1}, start + 1s);
    state.apply(roster(5), core::log_offset{2}, start + 2s);
    state.apply(roster(6), core::log_offset{3}, start + 3s);
    CHECK(state.unreached_in(core::epoch_id{6}).at(worker) == start + 1s);
    CHECK(state.unreached_in(core::epoch_id{7}).empty());
    SECTION("an epoch has no roster that names it") {
        state.apply(roster(8), core::log_offset{4}, start + 4s);
    }
    SECTION("a roster does not name it") {
        state.apply(roster_record{.workers = {worker}}, core::log_offset{4}, start + 4s);
        CHECK(state.unreached_in(core::epoch_id{6}).empty());
        state.apply(roster(8), core::log_offset{5}, start + 4s);
    }
    CHECK(state.unreached_in(core::epoch_id{8}).at(worker) == start + 4s);
}

// TWICE: a lease that was meant for a former incarnation is waited for from the first roster that says so.
TEST_CASE("a worker counts as restarted since the first of the rosters that name its incarnation so") {
    const core::worker_id worker{"w"};
    const auto roster = [&](std::uint64_t incarnation) {
        return roster_record{.workers = {worker},
                             .incarnations = {{worker, worker_incarnation_id{incarnation}}},
                             .restarted = {worker}};
    };
    cell_state state;
    state.apply(roster(5), core::log_offset{1}, start + 1s);
    state.apply(roster(5), core::log_offset{2}, start + 2s);
    CHECK(state.restarted().at(worker) == start + 1s);
    CHECK(state.roster_incarnations().at(worker) == worker_incarnation_id{5});
    state.apply(roster(6), core::log_offset{3}, start + 3s);
    CHECK(state.restarted().at(worker) == start + 3s);
    state.apply(roster_record{.workers = {worker}}, core::log_offset{4}, start + 4s);
    CHECK(state.restarted().empty());
}

} // namespace rattanmount::tests
