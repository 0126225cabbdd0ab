#include "core/errors.h"
#include "ledger/codec.h"
#include "tests/ledger/test_records.h"

#include <catch2/catch.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

using namespace rattanmount;
using namespace rattanmount::test;

namespace {

release::release_note sample_note() {
    release::pool_policy pool;
    pool.name = core::pool_id{"previews"};
    pool.kind = core::work_kind::quick;
    pool.priority = 900;
    pool.urgent = true;
    pool.max_share = 0.35;
    pool.quick_limit = core::milliseconds{1500};
    pool.services = {core::service_id{"render"}, core::service_id{"proof"}};
    release::team_policy team;
    team.name = core::team_id{"tabua"};
    team.region = core::region_id{"fiji"};
    team.quota = {.millicores = 64000, .memory_mb = 1 << 20, .accelerators = 4};
    release::note_item first{.change = release::item_change::add, .policy = pool};
    release::note_item second{
        .change = release::item_change::change, .replaces = core::revision_id{7}, .policy = team};
    return {.id = core::note_id{"n7"}, .author = "ana", .items = {first, second}};
}

ledger::record_batch batch_of_every_kind() {
    core::job_spec spec = spec_of("k1", 5, false);
    spec.service = core::service_id{"rebate"};
    spec.each.accelerators = 2;
    spec.payload = std::string{"\0\xff bytes", 8};
    return batch_of("rennes-1/7f3a", 41, 9,
                    {claim_of(8, "rennes-1"), ledger::shard_released{},
                     ledger::job_accepted{.spec = spec, .at = at_second(5)}, started("k1", 4, 2),
                     ended("k1", 4, 2, core::attempt_end::lost), job_over("k1", core::outcome::unknown),
                     ledger::job_cancelled{.job = job_named("k1"), .at = at_second(6)},
                     ledger::job_moved{.job = job_named("k1"), .to = core::shard_id{12}},
                     ledger::move_confirmed{.job = job_named("k1")},
                     ledger::job_forgotten{.job = job_named("k1")},
                     ledger::rack_assigned{.rack = core::rack_id{"r1"}, .shard = core::shard_id{3}},
                     ledger::note_proposed{.note = sample_note(), .at = at_second(7)},
                     ledger::snapshot_taken{.state = std::string(300, '\x80'), .at = core::log_offset{77}}});
}

/// @return an encoded batch with one known record and one of a kind that only a newer version knows.
std::string batch_of_newer_version() {
    using namespace apache::thrift::protocol;
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    TCompactProtocol writer(buffer);
    writer.writeStructBegin("batch");
    writer.writeFieldBegin("producer", T_STRING, 1);
    writer.writeString("p");
    writer.writeFieldBegin("sequence", T_I64, 2);
    writer.writeI64(1);
    writer.writeFieldBegin("epoch", T_I64, 3);
    writer.writeI64(2);
    writer.writeFieldBegin("records", T_LIST, 4);
    writer.writeListBegin(T_STRUCT, 2);
    writer.writeStructBegin("record");
    writer.writeFieldBegin("from_the_future", T_STRUCT, 90);
    writer.writeStructBegin("future");
    writer.writeFieldBegin("text", T_STRING, 1);
    writer.writeString("x");
    writer.writeFieldStop();
    writer.writeStructEnd();
    writer.writeFieldStop();
    writer.writeStructEnd();
    writer.writeStructBegin("record");
    writer.writeFieldBegin("shard_released", T_STRUCT, 2);
    writer.writeStructBegin("released");
    writer.writeFieldStop();
    writer.writeStructEnd();
    writer.writeFieldStop();
    writer.writeStructEnd();
    writer.writeFieldStop();
    writer.writeStructEnd();
    return buffer->getBufferAsString();
}

} // namespace

TEST_CASE("a batch with every kind of record survives encoding and decoding") {
    const ledger::record_batch batch = batch_of_every_kind();
    REQUIRE(batch.records.size() == std::variant_size_v<ledger::record>);
    CHECK(ledger::decode(ledger::encode(batch)) == batch);
}

TEST_CASE("a batch without records survives encoding and decoding") {
    const ledger::record_batch batch = batch_of("p", 3, 1, {});
    CHECK(ledger::decode(ledger::encode(batch)) == batch);
}

TEST_CASE("decode rejects truncated batches and batches followed by more bytes") {
    const std::string bytes = ledger::encode(batch_of_every_kind());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_THROWS_AS(ledger::decode(bytes.substr(0, length)), core::invalid_argument);
    }
    CHECK_THROWS_AS(ledger::decode(bytes + '\0'), core::invalid_argument);
    CHECK_THROWS_AS(ledger::decode(bytes + bytes), core::invalid_argument);
}

TEST_CASE("decoding corrupted bytes either throws invalid_argument or returns some batch") {
    random_engine random{11};
    const std::string bytes = ledger::encode(batch_of_every_kind());
    std::size_t rejected = 0;
    for (int round = 0; round < 5000; ++round) {
        std::string corrupted = bytes;
        for (std::size_t count = 1 + pick(random, 3); count > 0; --count) {
            corrupted[pick(random, corrupted.size())] = static_cast<char>(random());
        }
        try {
            static_cast<void>(ledger::decode(corrupted));
        } catch (const core::invalid_argument&) {
            ++rejected;
        }
    }
    CHECK(rejected > 1000);
}

TEST_CASE("decode rejects random bytes") {
    random_engine random{12};
    for (int round = 0; round < 2000; ++round) {
        std::string bytes(1 + pick(random, 60), '\0');
        for (char& byte : bytes) {
            byte = static_cast<char>(random());
        }
        CHECK_THROWS_AS(ledger::decode(bytes), core::invalid_argument);
    }
}

TEST_CASE("decode rejects numbers that are not enumerators") {
    auto batch = batch_of("p", 1, 1, {ended("k", 0, 1, static_cast<core::attempt_end>(60))});
    CHECK_THROWS_AS(ledger::decode(ledger::encode(batch)), core::invalid_argument);
}

TEST_CASE("decode skips a record kind of a newer version and keeps the other records") {
    const ledger::record_batch batch = ledger::decode(batch_of_newer_version());
    CHECK(batch == batch_of("p", 1, 2, {ledger::shard_released{}}));
}

TEST_CASE("the fingerprint of a note depends on its policies and its author") {
    const release::release_note note = sample_note();
    release::release_note other = note;
    CHECK(ledger::fingerprint(note) == ledger::fingerprint(other));
    std::get<release::pool_policy>(other.items[0].policy).max_share = 0.36;
    CHECK(ledger::fingerprint(note) != ledger::fingerprint(other));
    other = note;
    other.author = "ben";
    CHECK(ledger::fingerprint(note) != ledger::fingerprint(other));
}
