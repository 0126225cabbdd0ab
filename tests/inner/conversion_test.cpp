#include "core/errors.h"
#include "inner/conversion.h"
#include "inner/wire_field.h"
#include "tests/inner/sample_messages.h"

#include <catch2/catch.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

using namespace rattanmount;
using namespace rattanmount::inner;

namespace {

/// Encodes a message and decodes it again.
template <typename Message>
Message round_trip(const Message& message) {
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol{buffer};
    message.write(&protocol);
    Message read;
    read.read(&protocol);
    return read;
}

void check_equal(const core::job_answer& left, const core::job_answer& right) {
    CHECK(left.state == right.state);
    CHECK(left.result == right.result);
    CHECK(left.reason == right.reason);
    REQUIRE(left.status.has_value() == right.status.has_value());
    if (!left.status) {
        return;
    }
    CHECK(left.status->spec == right.status->spec);
    CHECK(left.status->accepted_at == right.status->accepted_at);
    CHECK(left.status->ended == right.status->ended);
    CHECK(left.status->reason == right.status->reason);
    CHECK(left.status->tasks_waiting == right.status->tasks_waiting);
    CHECK(left.status->tasks_running == right.status->tasks_running);
    CHECK(left.status->tasks_ended == right.status->tasks_ended);
    CHECK(left.status->places == right.status->places);
}

TEST_CASE("an explanation of a placement and the request for it survive encoding and decoding") {
    const dispatch::placement_explanation explanation{
        .team = core::team_id{"team"},
        .queue = workflow::queue_id{"queue"},
        .priority = 2,
        .known_workers = 8,
        .fitting_workers = 3,
        .needs_advice = true,
        .candidates = {{.worker = core::worker_id{"w1"},
                        .cost = 1.5,
                        .terms = {{.name = "room", .value = 1}, {.name = "speed", .value = 0.5}}}},
        .waits_for = {"runs to end"}};
    CHECK(from_wire(to_wire(explanation)) == explanation);
    const cell::submission request{
        .host_name = "host", .path = "/queue/", .key = std::nullopt, .body = std::string{"\0body", 5}};
    const auto read = from_wire(to_wire(request));
    CHECK(read.path == request.path);
    CHECK_FALSE(read.key);
    CHECK(read.body == request.body);
}

} // namespace

TEST_CASE("every message keeps all fields when it is encoded and decoded") {
    CHECK(from_wire(round_trip(to_wire(sample_view()))) == sample_view());
    CHECK(from_wire(round_trip(to_wire(sample_id()))) == sample_id());

    const auto answer = from_wire(round_trip(to_wire(sample_answer())));
    CHECK(answer.is_owner);
    check_equal(answer.answer, sample_answer().answer);
    CHECK(answer.explanation == sample_answer().explanation);
    CHECK(answer.moved_to == sample_answer().moved_to);
    CHECK_FALSE(from_wire(round_trip(to_wire(cell::owner_answer{}))).is_owner);

    const auto quick = from_wire(round_trip(to_wire(sample_quick())));
    CHECK(quick.id == sample_quick().id);
    CHECK(quick.pool == sample_quick().pool);
    CHECK(quick.service == sample_quick().service);
    CHECK(quick.idempotent == sample_quick().idempotent);
    CHECK(quick.limit == sample_quick().limit);
    CHECK(quick.body == sample_quick().body);

    const auto quick_answer = from_wire(round_trip(to_wire(sample_quick_answer())));
    CHECK(quick_answer.is_owner);
    CHECK(quick_answer.answer.result == core::outcome::unknown);
    CHECK(quick_answer.answer.reason == "no answer");
    CHECK(quick_answer.answer.body == sample_quick_answer().answer.body);
    CHECK(quick_answer.answer.executor == sample_quick_answer().answer.executor);

    const auto grant = from_wire(round_trip(to_wire(sample_grant())));
    CHECK(grant.granted);
    CHECK(grant.grant == 77);
    CHECK(grant.executor == sample_grant().executor);
    CHECK(grant.address == sample_grant().address);
    CHECK(grant.reason == "free");

    const cell::config_copy whole{.available = true, .next = core::log_offset{4}, .state = "\xff state"};
    const auto copy = from_wire(round_trip(to_wire(whole)));
    CHECK(copy.available);
    CHECK(copy.next == core::log_offset{4});
    CHECK(copy.state == "\xff state");
}

TEST_CASE("work kinds, outcomes, answer states and slot releases except refused survive the conversion") {
    using core::answer_state;
    using core::outcome;
    using core::work_kind;
    for (const auto kind : {work_kind::quick, work_kind::batch, work_kind::gang, work_kind::service}) {
        auto spec = sample_spec();
        spec.kind = kind;
        CHECK(from_wire(round_trip(to_wire(spec))).kind == kind);
    }
    for (const auto result : {outcome::completed, outcome::failed, outcome::not_run, outcome::unknown}) {
        auto answer = sample_quick_answer();
        answer.answer.result = result;
        CHECK(from_wire(round_trip(to_wire(answer))).answer.result == result);
    }
    for (const auto state :
         {answer_state::accepted, answer_state::ended, answer_state::refused, answer_state::unsettled}) {
        auto answer = sample_answer();
        answer.answer.state = state;
        CHECK(from_wire(round_trip(to_wire(answer))).answer.state == state);
    }
    for (const auto how : {cell::slot_release::done, cell::slot_release::unsent, cell::slot_release::lost,
                           cell::slot_release::broken}) {
        CHECK(slot_release_from_wire(to_wire(how)) == how);
    }
}

TEST_CASE("a message with an unknown value, a missing field or a number out of range is rejected") {
    auto unknown_kind = round_trip(to_wire(sample_spec()));
    unknown_kind.kind = 99;
    CHECK_THROWS_WITH(from_wire(unknown_kind), Catch::Contains("job_spec.kind"));
    auto negative = round_trip(to_wire(sample_spec()));
    negative.tasks = -1;
    CHECK_THROWS_WITH(from_wire(negative), Catch::Contains("job_spec.tasks"));
    auto port = round_trip(to_wire(sample_grant()));
    port.address.port = 65536;
    CHECK_THROWS_WITH(from_wire(port), Catch::Contains("endpoint.port"));
    auto no_team = round_trip(to_wire(sample_id()));
    no_team.__isset.team = false;
    CHECK_THROWS_WITH(from_wire(no_team), Catch::Contains("job_id.team"));
    auto no_answer = round_trip(to_wire(sample_answer()));
    no_answer.__isset.answer = false;
    CHECK_THROWS_AS(from_wire(no_answer), core::invalid_argument);
    auto no_shard = round_trip(to_wire(sample_answer()));
    no_shard.moved_to = -1;
    CHECK_THROWS_WITH(from_wire(no_shard), Catch::Contains("owner_answer.moved_to"));
    CHECK_THROWS_AS(slot_release_from_wire(0), core::invalid_argument);
    CHECK_THROWS_AS(duration_from_wire(-1, "limit_ms"), core::invalid_argument);
}
