#include "ledger/codec.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stream_session.h"
#include "tests/ledger/fake_log.h"
#include "tests/ledger/test_records.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace rattanmount;
using namespace rattanmount::test;
using external::append_outcome;
using ledger::stream_session;

namespace {

using std::chrono::milliseconds;

/// A session of producer "a" on an in-memory log, with a manual clock.
class session_fixture {
public:
    session_fixture() : session(this->options()) {}

    void add(const std::string& key, bool cancellable = false) {
        this->session.add(
            accepted(key), {.cancellable = cancellable},
            [this, key](ledger::record_outcome result) { this->completed.emplace_back(key, result); });
    }

    /// Claims the shard and sets the session's epoch.
    void claim() {
        this->session.add(claim_of(this->state_machine.epoch().value(), "a"), {.own_batch = true}, {});
        this->append_and_store();
        this->session.set_epoch(this->state_machine.epoch());
    }

    /// @return the next append; fails if none is due within 1000 ms.
    ledger::append_request due_append() {
        this->now += milliseconds{1000};
        auto request = this->session.next_append(this->now);
        REQUIRE(request);
        return *request;
    }

    bool is_append_due() {
        this->now += milliseconds{1000};
        return this->session.next_append(this->now).has_value();
    }

    void reply(const ledger::append_request& request, append_outcome fate, std::uint64_t offset = 0) {
        this->session.on_append(request.sequence, {.outcome = fate, .offset = core::log_offset{offset}},
                                this->now);
    }

    void append_and_store() {
        const auto request = this->due_append();
        this->reply(request, append_outcome::stored, this->log.append(request.bytes).value());
    }

    void read(std::size_t max_entries = 1000) {
        this->session.request_read();
        this->now += milliseconds{1000};
        const auto request = this->session.next_read(this->now);
        REQUIRE(request);
        this->session.on_read(request->from, this->log.read(request->from, max_entries), this->now);
    }

    void other_host_writes(std::uint64_t sequence, std::uint64_t epoch, ledger::record item) {
        this->log.append(ledger::encode(batch_of("b", sequence, epoch, {std::move(item)})));
    }

    ledger::session_options options() {
        return {.producer = core::incarnation_id{"a"},
                .stream = core::stream_id{"shard-1"},
                .max_records_per_batch = 3,
                .apply =
                    [this](core::log_offset offset, const ledger::record_batch& batch) {
                        return ledger::shard_state_machine::is_applied(
                            this->state_machine.apply(offset, batch));
                    },
                .reset = [this] { this->state_machine.reset(); },
                .state = [this] { return this->state_machine.state(); }};
    }

    fake_log log;
    ledger::shard_state_machine state_machine{core::shard_id{1}};
    stream_session session;
    core::steady_time now{std::chrono::hours{1}};
    std::vector<std::pair<std::string, ledger::record_outcome>> completed;
};

using outcomes = std::vector<std::pair<std::string, ledger::record_outcome>>;

} // namespace

TEST_CASE("an append stored at the next offset is applied and gets its outcome without a read") {
    session_fixture host;
    host.claim();
    host.add("k1");
    host.append_and_store();
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::recorded}});
    CHECK(host.state_machine.find(job_named("k1")) != nullptr);
    CHECK(host.session.next() == core::log_offset{2});
    CHECK(host.session.pending() == 0);
    CHECK(host.session.log_available());
}

TEST_CASE("records are appended in groups, with one pending append at most and the minimum spacing") {
    session_fixture host;
    host.claim();
    const auto start = host.now;
    REQUIRE(host.session.next_read(start));
    host.session.on_read(host.session.next(), host.log.read(host.session.next()), start);
    for (const char* key : {"k1", "k2", "k3", "k4"}) {
        host.add(key);
    }
    CHECK_FALSE(host.session.next_append(start + milliseconds{99}));
    CHECK(host.session.next_deadline(start) == start + milliseconds{100});
    const auto request = host.session.next_append(start + milliseconds{100});
    REQUIRE(request);
    CHECK(ledger::decode(request->bytes).records.size() == 3);
    CHECK_FALSE(host.is_append_due());
    host.reply(*request, append_outcome::stored, host.log.append(request->bytes).value());
    CHECK(host.completed.size() == 3);
    host.append_and_store();
    CHECK(host.completed.size() == 4);
}

TEST_CASE("a batch respects the byte limit and holds records of one epoch only") {
    session_fixture host;
    auto options = host.options();
    options.max_bytes_per_batch = 150;
    stream_session small{options};
    small.add(accepted("k1"), {}, {});
    small.add(accepted("k2"), {}, {});
    small.add(accepted("k3"), {}, {});
    const auto first = small.next_append(host.now);
    REQUIRE(first);
    CHECK(ledger::decode(first->bytes).records.size() == 2);

    host.session.set_epoch(core::epoch_id{4});
    host.add("old");
    host.session.set_epoch(core::epoch_id{6});
    host.add("new");
    const auto batch = ledger::decode(host.due_append().bytes);
    CHECK(batch.records.size() == 1);
    CHECK(batch.epoch == core::epoch_id{4});
}

TEST_CASE("a claim gets a batch of its own") {
    session_fixture host;
    host.add("before");
    host.session.add(claim_of(0, "a"), {.own_batch = true}, {});
    host.add("after");
    CHECK(ledger::decode(host.due_append().bytes).records.size() == 1);
}

TEST_CASE("an append that was stored without an answer gets its outcome when it is read") {
    session_fixture host;
    host.claim();
    host.add("k1", true);
    const auto request = host.due_append();
    host.log.append(request.bytes);
    host.reply(request, append_outcome::unknown);
    CHECK_FALSE(host.session.caught_up());
    CHECK_FALSE(host.session.log_available());
    host.session.cancel_queued();
    CHECK(host.completed.empty());
    host.read();
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::recorded}});
    CHECK(host.session.caught_up());
    CHECK_FALSE(host.is_append_due());
}

TEST_CASE("an append with an unknown outcome is retried unchanged until a copy is stored, and applied once") {
    session_fixture host;
    host.claim();
    host.add("k1");
    const auto first = host.due_append();
    host.reply(first, append_outcome::unknown);
    CHECK_FALSE(host.session.next_append(host.now + milliseconds{199}));
    const auto second = host.due_append();
    CHECK(second.bytes == first.bytes);
    CHECK(second.sequence == first.sequence);
    host.log.append(first.bytes);
    host.reply(second, append_outcome::stored, host.log.append(second.bytes).value());
    CHECK(host.completed.empty());
    host.read();
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::recorded}});
    host.log.append(first.bytes);
    host.read();
    CHECK(host.completed.size() == 1);
    CHECK(host.session.next() == core::log_offset{4});
}

TEST_CASE("a batch is not reported absent while an earlier append of it has an unknown outcome") {
    session_fixture host;
    host.claim();
    host.add("k1", true);
    const auto first = host.due_append();
    host.reply(first, append_outcome::unknown);
    host.reply(host.due_append(), append_outcome::not_stored);
    host.session.cancel_queued();
    CHECK(host.completed.empty());
    host.log.append(first.bytes);
    host.read();
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::recorded}});
}

TEST_CASE("a batch that is certainly absent is cancelled or queued again, record by record") {
    session_fixture host;
    host.claim();
    host.add("give", true);
    host.add("keep");
    const auto first = host.due_append();
    host.add("later");
    host.reply(first, append_outcome::not_stored);
    CHECK(host.completed == outcomes{{"give", ledger::record_outcome::absent}});
    const auto second = host.due_append();
    CHECK(second.sequence > first.sequence);
    const auto batch = ledger::decode(second.bytes);
    REQUIRE(batch.records.size() == 2);
    CHECK(std::get<ledger::job_accepted>(batch.records[0]).spec.id == job_named("keep"));
}

TEST_CASE("cancellable records in the queue that were never sent can be cancelled") {
    session_fixture host;
    host.add("give", true);
    host.add("keep");
    host.add("give too", true);
    host.session.cancel_queued();
    CHECK(host.completed ==
          outcomes{{"give", ledger::record_outcome::absent}, {"give too", ledger::record_outcome::absent}});
    CHECK(host.session.pending() == 1);
}

TEST_CASE("entries of other writers in between are read before an append gets its outcome") {
    session_fixture host;
    host.claim();
    host.other_host_writes(1, 0, claim_of(1, "b"));
    host.add("k1");
    host.append_and_store();
    CHECK(host.completed.empty());
    CHECK_FALSE(host.session.caught_up());
    CHECK_FALSE(host.is_append_due());
    host.read();
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::superseded}});
    CHECK(host.state_machine.find(job_named("k1")) == nullptr);
    CHECK(host.state_machine.owner()->incarnation == core::incarnation_id{"b"});
}

TEST_CASE("a lost claim is superseded") {
    session_fixture host;
    host.other_host_writes(1, 0, claim_of(0, "b"));
    std::optional<ledger::record_outcome> result;
    host.session.add(claim_of(0, "a"), {.own_batch = true},
                     [&](ledger::record_outcome one) { result = one; });
    host.append_and_store();
    host.read();
    CHECK(result == ledger::record_outcome::superseded);
}

TEST_CASE("a long stream is read to its end without delay, and then polled at the read interval") {
    session_fixture host;
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        host.other_host_writes(sequence, 0, accepted("x"));
    }
    for (int round = 0; round < 4; ++round) {
        const auto request = host.session.next_read(host.now);
        REQUIRE(request);
        CHECK_FALSE(host.session.next_read(host.now));
        host.session.on_read(request->from, host.log.read(request->from, 3), host.now);
    }
    CHECK(host.session.caught_up());
    CHECK_FALSE(host.session.next_read(host.now + milliseconds{999}));
    CHECK(host.session.next_deadline(host.now) == host.now + milliseconds{1000});
    CHECK(host.session.next_read(host.now + milliseconds{1000}));
}

TEST_CASE("a read that fails or returns nothing new is retried only after the retry delay") {
    session_fixture host;
    host.other_host_writes(1, 0, accepted("x"));
    auto request = host.session.next_read(host.now);
    host.session.on_read(request->from, {}, host.now);
    CHECK_FALSE(host.session.log_available());
    host.session.request_read();
    CHECK_FALSE(host.session.next_read(host.now + milliseconds{199}));
    request = host.session.next_read(host.now + milliseconds{200});
    REQUIRE(request);
    auto lagging = host.log.read(request->from);
    lagging.entries.clear();
    host.session.on_read(request->from, lagging, host.now);
    CHECK_FALSE(host.session.caught_up());
    CHECK_FALSE(host.session.next_read(host.now + milliseconds{199}));
    CHECK(host.session.next_deadline(host.now) == host.now + milliseconds{200});
}

TEST_CASE("a read reply that is older than the applied state changes nothing") {
    session_fixture host;
    const auto first = host.session.next_read(host.now);
    REQUIRE(first);
    const auto empty = host.log.read(first->from);
    host.claim();
    host.session.on_read(first->from, empty, host.now);
    CHECK(host.session.next() == core::log_offset{1});

    host.session.request_read();
    const auto second = host.session.next_read(host.now);
    REQUIRE(second);
    host.add("k1");
    const auto request = host.due_append();
    const core::log_offset stored = host.log.append(request.bytes);
    const auto with_k1 = host.log.read(second->from);
    host.reply(request, append_outcome::stored, stored.value());
    host.add("k2");
    host.append_and_store();
    host.session.on_read(second->from, with_k1, host.now);
    CHECK(host.session.next() == core::log_offset{3});
    CHECK(host.state_machine.next() == core::log_offset{3});
    CHECK(host.completed ==
          outcomes{{"k1", ledger::record_outcome::recorded}, {"k2", ledger::record_outcome::recorded}});
    CHECK(host.session.resets() == 0);
}

TEST_CASE("if entries expired unread, the stream is read again and nothing is written before a snapshot") {
    session_fixture host;
    host.claim();
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        host.other_host_writes(sequence, 0, accepted("x"));
    }
    host.log.expire(3);
    host.add("k1");
    host.read();
    CHECK(host.session.resets() == 1);
    CHECK_FALSE(host.state_machine.has_base_state());
    CHECK_FALSE(host.is_append_due());
    CHECK(host.session.next() == core::log_offset{4});

    ledger::shard_state_machine other{core::shard_id{1}};
    other.apply(core::log_offset{0}, batch_of("b", 1, 0, {claim_of(0, "b")}));
    host.other_host_writes(9, 1, ledger::snapshot_taken{.state = other.state(), .at = core::log_offset{4}});
    host.read();
    CHECK(host.state_machine.has_base_state());
    CHECK(host.is_append_due());
}

TEST_CASE("a session continues from a peer's state, even if the log keeps no older entries") {
    session_fixture host;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        host.other_host_writes(sequence, 0, accepted("x"));
    }
    host.log.expire(4);
    host.session.skip_to(core::log_offset{4});
    const auto request = host.session.next_read(host.now);
    REQUIRE(request);
    CHECK(request->from == core::log_offset{4});
    host.session.on_read(request->from, host.log.read(request->from), host.now);
    CHECK(host.session.resets() == 0);
    CHECK(host.session.next() == core::log_offset{5});
    host.session.skip_to(core::log_offset{2});
    CHECK(host.session.next() == core::log_offset{5});

    host.other_host_writes(6, 0, accepted("x"));
    host.other_host_writes(7, 0, accepted("x"));
    host.log.expire(6);
    host.read();
    host.add("k1");
    CHECK_FALSE(host.is_append_due());
    host.session.skip_to(core::log_offset{6});
    CHECK(host.session.next() == core::log_offset{6});
    CHECK(host.is_append_due());
}

TEST_CASE(
    "a batch that was stored among expired entries gets its outcome from the snapshot's producer table") {
    session_fixture host;
    host.claim();
    host.add("k1");
    const auto request = host.due_append();
    host.reply(request, append_outcome::unknown);
    ledger::shard_state_machine peer{core::shard_id{1}};
    peer.apply(core::log_offset{0}, ledger::decode(host.log.at(0)));
    peer.apply(host.log.append(request.bytes), ledger::decode(request.bytes));
    host.other_host_writes(1, 1, claim_of(1, "b"));
    peer.apply(core::log_offset{2}, ledger::decode(host.log.at(2)));
    host.other_host_writes(2, 2, ledger::snapshot_taken{.state = peer.state(), .at = core::log_offset{3}});
    host.log.expire(3);
    host.read();
    CHECK(host.completed.empty());
    host.append_and_store();
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::recorded}});
}

TEST_CASE("a snapshot holds the state just before its own offset") {
    session_fixture host;
    host.claim();
    host.add("k1");
    std::optional<ledger::record_outcome> result;
    host.session.add(ledger::snapshot_taken{}, {}, [&](ledger::record_outcome one) { result = one; });
    host.append_and_store();
    CHECK_FALSE(host.is_append_due());
    host.read();
    const std::string state = host.state_machine.state();
    host.append_and_store();
    CHECK(result == ledger::record_outcome::recorded);
    const auto batch = ledger::decode(host.log.at(2));
    CHECK(batch.records ==
          std::vector<ledger::record>{ledger::snapshot_taken{.state = state, .at = core::log_offset{2}}});
}

TEST_CASE("log entries that cannot be decoded are skipped and counted") {
    session_fixture host;
    host.claim();
    host.log.append("no batch");
    host.add("k1");
    host.append_and_store();
    host.read();
    CHECK(host.session.malformed_entries() == 1);
    CHECK(host.completed == outcomes{{"k1", ledger::record_outcome::recorded}});
}

TEST_CASE("replies that belong to no pending call are ignored") {
    session_fixture host;
    host.claim();
    host.session.on_append(core::sequence_number{1}, {.outcome = append_outcome::stored}, host.now);
    host.session.on_read(core::log_offset{0}, host.log.read(core::log_offset{0}), host.now);
    CHECK(host.session.next() == core::log_offset{1});
}

TEST_CASE("a callback may add records, and a new session continues the sequence numbers of its producer") {
    session_fixture host;
    host.claim();
    host.session.add(accepted("k1"), {}, [&](ledger::record_outcome) { host.add("k2"); });
    host.append_and_store();
    host.append_and_store();
    CHECK(host.completed == outcomes{{"k2", ledger::record_outcome::recorded}});

    stream_session later{host.options()};
    const auto request = later.next_read(host.now);
    ledger::shard_state_machine seen{core::shard_id{1}};
    later.on_read(request->from, host.log.read(request->from), host.now);
    CHECK(later.next_sequence() == host.session.next_sequence());
}
