#include "core/errors.h"
#include "inner/workflow_codec.h"
#include "ledger/thrift_bytes.h"

#include <catch2/catch.hpp>

#include <workflow_types.h>

namespace rattanmount::tests {

namespace {

using namespace workflow;

job_accepted full_job() {
    step_request step;
    step.tasks = 7;
    step.each = {.millicores = 1500, .memory_mb = 2000, .accelerators = 2};
    step.estimate = core::milliseconds{900};
    step.checkpoints = step.gang = step.one_rack = step.allows_copies = true;
    step.long_running = step.uses_leftover = true;
    step.required_label = worker_label{"a"};
    step.data_rack = core::rack_id{"r1"};
    step.most_per_worker = 2;
    step.may_be_away = 1;
    step.image = image_id{"image"};
    step.latency_limit = core::milliseconds{50};
    auto second = step_request{};
    second.after = {0};
    job_accepted record;
    record.request = {.key = job_key{"a"},
                      .queue = queue_id{"queue"},
                      .payload = std::string("p\0q", 3),
                      .steps = {step, second},
                      .recurs = recurrence{.first = core::from_epoch(core::milliseconds{5000}),
                                           .interval = core::milliseconds{100},
                                           .times = 3}};
    record.policy = {.queue = queue_id{"queue"},
                     .service = core::service_id{"service"},
                     .priority = 2,
                     .max_attempts = 3,
                     .stretch = 1.5,
                     .latency_goal = core::milliseconds{300},
                     .advice = advice_policy{.base_time = core::milliseconds{26},
                                             .time_per_worker = std::chrono::microseconds{370},
                                             .ticket_lifetime = core::milliseconds{2500}}};
    record.accepted_at = core::from_epoch(core::milliseconds{1234});
    record.team = core::team_id{"team"};
    return record;
}

} // namespace

TEST_CASE("an accepted job survives encoding and decoding") {
    const auto record = full_job();
    const auto read = std::get<job_accepted>(inner::decode_record(inner::encode_record(record).front()));
    CHECK(read.request == record.request);
    CHECK(read.policy == record.policy);
    CHECK(read.accepted_at == record.accepted_at);
    CHECK(read.team == record.team);
}

TEST_CASE("job progress survives encoding and decoding") {
    job_progress record{.key = job_key{"a"}, .phase = job_phase::running};
    step_progress step{.occurrence = 1, .step = 2, .done = std::vector<bool>(11, false)};
    step.done[3] = step.done[10] = true;
    step.open[4] = {.failed_runs = {3, 64},
                    .last_run = 65,
                    .ended_run = 64,
                    .checkpoint = checkpoint_id{"c"},
                    .worker = core::worker_id{"w"}};
    record.steps = {step};
    CHECK(std::get<job_progress>(inner::decode_record(inner::encode_record(record).front())) == record);
}

TEST_CASE("job progress in parts survives encoding and decoding") {
    job_progress record{.key = job_key{"a"}, .phase = job_phase::running};
    record.complete_occurrences = std::vector<bool>(request_limits::max_occurrences, true);
    record.complete_occurrences[7] = false;
    record.in_parts = true;
    CHECK(std::get<job_progress>(inner::decode_record(inner::encode_record(record).front())) == record);
    part_progress part{.key = job_key{"job.with.dots"}, .part = {.occurrence = 12, .number = 3}};
    step_progress step{.occurrence = 12, .step = 2, .first = 148, .done = std::vector<bool>(11, false)};
    step.done[3] = true;
    step.open[150] = {.last_run = 65, .worker = core::worker_id{"w"}};
    part.steps = {step};
    CHECK(std::get<part_progress>(inner::decode_record(inner::encode_record(part).front())) == part);
    part.steps = {};
    CHECK(inner::encode_record(part).front().value.empty());
    CHECK(std::get<part_progress>(inner::decode_record(inner::encode_record(part).front())) == part);
    for (const auto* key : {"q", "qa", "qa.1", "qa.1.", "qa..1", "qa.1.x"}) {
        CAPTURE(key);
        CHECK_THROWS_AS(inner::decode_record({.key = key, .value = "x"}), core::invalid_argument);
    }
}

// Guards against a rolling restart in which the hosts of the new version lose what the old ones have
// recorded.
TEST_CASE("the team of a cancellation and of an ended job survives encoding, and may be missing") {
    const auto team = GENERATE(as<std::string>{}, "", "team");
    const job_cancelled cancelled{.key = job_key{"a"}, .team = core::team_id{team}};
    const auto items = inner::encode_record(cancelled);
    CHECK((items.front().value == "x") == team.empty());
    CHECK(std::get<job_cancelled>(inner::decode_record(items.front())).team == cancelled.team);
    const job_progress ended{.key = job_key{"a"}, .phase = job_phase::completed, .team = core::team_id{team}};
    CHECK(std::get<job_progress>(inner::decode_record(inner::encode_record(ended).front())) == ended);
}

TEST_CASE("a record of progress of a version without parts holds the whole progress") {
    inner::gen::wf_step_progress step;
    step.tasks = 2;
    step.done = std::string(1, '\x02');
    inner::gen::wf_progress progress;
    progress.phase = static_cast<std::int8_t>(job_phase::running);
    progress.__set_steps({step});
    const auto record =
        std::get<job_progress>(inner::decode_record({.key = "pa", .value = ledger::to_bytes(progress)}));
    CHECK_FALSE(record.in_parts);
    CHECK(record.steps.front().first == 0);
    CHECK(record.steps.front().done == std::vector<bool>{false, true});
    // And a job with one part is recorded as by that version.
    CHECK(inner::encode_record(record).front().value == ledger::to_bytes(progress));
}

TEST_CASE("forgetting a job deletes all its keys from the log") {
    const auto items = inner::encode_record(job_forgotten{job_key{"a"}});
    REQUIRE(items.size() == 3);
    for (const auto& item : items) {
        CHECK(item.value.empty());
        // Deletion of the accepted record decodes as job_closed, because closing a job deletes only that key.
        const auto record = inner::decode_record(item);
        CHECK((item.key == "ja" ? std::holds_alternative<job_closed>(record)
                                : std::holds_alternative<job_forgotten>(record)));
    }
}

TEST_CASE("closing a job deletes only its accepted record from the log") {
    const auto items = inner::encode_record(job_closed{job_key{"a"}});
    REQUIRE(items.size() == 1);
    CHECK(items.front().key == inner::encode_record(full_job()).front().key);
    CHECK(items.front().value.empty());
}

TEST_CASE("a roster survives encoding and decoding, as one of a version that names no unreached workers") {
    const core::worker_id a{"a"};
    const core::worker_id b{"b"};
    const workflow::roster_record roster{.workers = {a, b}, .epoch = core::epoch_id{7}, .unreached = {b}};
    const auto read =
        std::get<workflow::roster_record>(inner::decode_record(inner::encode_record(roster).front()));
    CHECK(read.workers == roster.workers);
    CHECK(read.epoch == roster.epoch);
    CHECK(read.unreached == roster.unreached);
    inner::gen::wf_roster other;
    other.workers = {"a"};
    const auto old = inner::decode_record({.key = "w", .value = ledger::to_bytes(other)});
    CHECK(std::get<workflow::roster_record>(old).unreached.empty());
    other.__set_unreached({1});
    CHECK_THROWS_AS(inner::decode_record({.key = "w", .value = ledger::to_bytes(other)}),
                    core::invalid_argument);
}

TEST_CASE("a roster names the incarnations that are known, and which of them have restarted") {
    const core::worker_id a{"a"};
    const core::worker_id b{"b"};
    const core::worker_id c{"c"};
    const workflow::roster_record roster{.workers = {a, b, c},
                                         .incarnations = {{a, workflow::worker_incarnation_id{1764892800000}},
                                                          {c, workflow::worker_incarnation_id{7}}},
                                         .restarted = {c}};
    const auto read =
        std::get<workflow::roster_record>(inner::decode_record(inner::encode_record(roster).front()));
    CHECK(read.incarnations == roster.incarnations);
    CHECK(read.restarted == roster.restarted);
    inner::gen::wf_roster other;
    other.workers = {"a", "b"};
    other.__set_restarted({0});
    const auto unnamed = inner::decode_record({.key = "w", .value = ledger::to_bytes(other)});
    CHECK(std::get<workflow::roster_record>(unnamed).restarted.empty());
    other.__set_incarnations({1, 2, 3});
    CHECK_THROWS_AS(inner::decode_record({.key = "w", .value = ledger::to_bytes(other)}),
                    core::invalid_argument);
}

TEST_CASE("records that cannot be decoded are rejected") {
    CHECK_THROWS_AS(inner::decode_record({.key = "", .value = "x"}), core::invalid_argument);
    CHECK_THROWS_AS(inner::decode_record({.key = "?a", .value = "x"}), core::invalid_argument);
    CHECK_THROWS_AS(inner::decode_record({.key = "ja", .value = "no record"}), core::invalid_argument);
    CHECK_THROWS_AS(inner::decode_record({.key = "pa", .value = "no record"}), core::invalid_argument);
}

// Guards against processes that end because a count in a record is negative and becomes a very large one.
TEST_CASE("records whose numbers are out of range are rejected") {
    auto job = full_job();
    SECTION("tasks of a step") {
        job.request.steps[0].tasks = 0x80000000U;
    }
    SECTION("tasks per worker") {
        job.request.steps[0].most_per_worker = 0x80000000U;
    }
    SECTION("occurrences") {
        job.request.recurs->times = 0x80000000U;
    }
    SECTION("attempts") {
        job.policy.max_attempts = 0x80000000U;
    }
    SECTION("a resource") {
        job.request.steps[0].each.memory_mb = -1;
    }
    CHECK_THROWS_AS(inner::decode_record(inner::encode_record(job).front()), core::invalid_argument);
}

TEST_CASE("a record of progress whose number of occurrences is out of range is rejected") {
    for (const std::int32_t occurrences : {-1, 10001, 2147483647}) {
        inner::gen::wf_progress progress;
        progress.__set_occurrences(occurrences);
        CAPTURE(occurrences);
        CHECK_THROWS_AS(inner::decode_record({.key = "pa", .value = ledger::to_bytes(progress)}),
                        core::invalid_argument);
    }
}

TEST_CASE("forgetting a job deletes its parts first") {
    const auto items =
        inner::encode_record(job_forgotten{job_key{"a"}, {{.occurrence = 0, .number = 1}, {2, 0}}});
    REQUIRE(items.size() == 5);
    CHECK(items[0].key == "qa.0.1");
    CHECK(items[1].key == "qa.2.0");
}

// TWICE: a successor that does not know in which epoch a record was made cannot tell how many runs may have
// been started since.
TEST_CASE("records of progress name the epoch of the leader that made them") {
    const workflow::step_progress step{.done = {false}, .open = {{0, {.last_run = 71}}}};
    const core::epoch_id epoch{(std::uint64_t{1} << 40U) + 3};
    const job_progress job{.key = job_key{"a"}, .steps = {step}, .in_parts = true, .epoch = epoch};
    CHECK(std::get<job_progress>(inner::decode_record(inner::encode_record(job).front())) == job);
    const part_progress part{.key = job_key{"a"}, .part = {2, 1}, .steps = {step}, .epoch = epoch};
    CHECK(std::get<part_progress>(inner::decode_record(inner::encode_record(part).front())) == part);
    inner::gen::wf_progress negative;
    negative.__set_epoch(-1);
    CHECK_THROWS_AS(inner::decode_record({.key = "pa", .value = ledger::to_bytes(negative)}),
                    core::invalid_argument);
}

// Guards against processes that end because the number of tasks in a record of progress is out of range.
TEST_CASE("a record of progress whose number of tasks is out of range is rejected") {
    for (const std::int32_t tasks : {-1, 2147483647}) {
        inner::gen::wf_step_progress step;
        step.tasks = tasks;
        inner::gen::wf_progress progress;
        progress.__set_steps({step});
        CAPTURE(tasks);
        CHECK_THROWS_AS(inner::decode_record({.key = "pa", .value = ledger::to_bytes(progress)}),
                        core::invalid_argument);
    }
}

} // namespace rattanmount::tests
