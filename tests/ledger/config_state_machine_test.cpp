#include "core/errors.h"
#include "ledger/codec.h"
#include "ledger/config_state_machine.h"
#include "tests/ledger/test_records.h"

#include <catch2/catch.hpp>

#include <map>

using namespace rattanmount;
using namespace rattanmount::test;
using apply_result = ledger::config_state_machine::apply_result;

namespace {

release::release_note note_on(const std::string& id, const std::string& pool, release::item_change change,
                              std::uint64_t replaces, std::uint32_t priority = 5) {
    release::pool_policy policy;
    policy.name = core::pool_id{pool};
    policy.priority = priority;
    release::note_item item{.change = change, .replaces = core::revision_id{replaces}, .policy = policy};
    return {.id = core::note_id{id}, .author = "ana", .items = {item}};
}

ledger::note_proposed proposed(const release::release_note& note) {
    return {.note = note, .at = at_second(1)};
}

ledger::record random_config_record(random_engine& random, std::size_t index) {
    if (chance(random, 20)) {
        return ledger::rack_assigned{.rack = core::rack_id{"r" + std::to_string(pick(random, 6))},
                                     .shard = core::shard_id{pick(random, 4)}};
    }
    const std::string id = "n" + std::to_string(chance(random, 80) ? index : pick(random, index + 1));
    const std::string pool = "p" + std::to_string(pick(random, 4));
    const auto change = static_cast<release::item_change>(pick(random, 3));
    return proposed(
        note_on(id, pool, change, pick(random, 4), static_cast<std::uint32_t>(pick(random, 1100))));
}

std::vector<ledger::record_batch> random_batches(random_engine& random, std::size_t length) {
    std::vector<ledger::record_batch> batches;
    for (std::size_t index = 0; index < length; ++index) {
        const std::string producer(1, static_cast<char>('a' + pick(random, 5)));
        batches.push_back(batch_of(producer, index + 1, 0, {random_config_record(random, index)}));
        while (chance(random, 30)) {
            batches.back().records.push_back(random_config_record(random, index));
        }
        if (chance(random, 20)) {
            batches.push_back(batches[pick(random, batches.size())]);
        }
    }
    return batches;
}

} // namespace

TEST_CASE("only the first record for a rack assigns its shard") {
    ledger::config_state_machine state_machine;
    const auto assign = [](std::uint64_t shard) {
        return ledger::rack_assigned{.rack = core::rack_id{"r1"}, .shard = core::shard_id{shard}};
    };
    state_machine.apply(core::log_offset{0}, batch_of("a", 1, 0, {assign(3)}));
    state_machine.apply(core::log_offset{1}, batch_of("b", 1, 0, {assign(4)}));
    CHECK(state_machine.shard_of(core::rack_id{"r1"}) == core::shard_id{3});
    CHECK_FALSE(state_machine.shard_of(core::rack_id{"r2"}));
}

TEST_CASE("the result of a note is final and a different note under the same id is refused") {
    ledger::config_state_machine state_machine;
    const auto add = note_on("n1", "p", release::item_change::add, 0);
    const auto change = note_on("n2", "p", release::item_change::change, 1, 9);
    state_machine.apply(core::log_offset{0}, batch_of("a", 1, 0, {proposed(add)}));
    state_machine.apply(core::log_offset{1}, batch_of("b", 1, 0, {proposed(change), proposed(add)}));
    state_machine.apply(core::log_offset{2}, batch_of("c", 1, 0, {proposed(change)}));
    REQUIRE(state_machine.find_result(core::note_id{"n1"}) != nullptr);
    CHECK(state_machine.find_result(core::note_id{"n1"})->accepted);
    CHECK(state_machine.result_for(change)->accepted);
    CHECK(state_machine.offset_of(core::note_id{"n2"}) == core::log_offset{1});
    CHECK(state_machine.policies().revision(core::pool_id{"p"}) == core::revision_id{2});

    auto other = change;
    other.author = "ben";
    state_machine.apply(core::log_offset{3}, batch_of("c", 2, 0, {proposed(other)}));
    CHECK(state_machine.result_for(change)->accepted);
    CHECK_FALSE(state_machine.result_for(other)->accepted);
    CHECK(state_machine.result_for(other)->reason.find("another note") != std::string::npos);
    CHECK_FALSE(state_machine.result_for(note_on("n9", "p", release::item_change::add, 0)));
}

TEST_CASE("of two notes against the same revision the first in the log is accepted and the refusal of the "
          "other names it") {
    ledger::config_state_machine state_machine;
    state_machine.apply(core::log_offset{0},
                        batch_of("a", 1, 0, {proposed(note_on("n1", "p", release::item_change::add, 0))}));
    const auto first = note_on("n2", "p", release::item_change::change, 1, 7);
    const auto second = note_on("n3", "p", release::item_change::withdraw, 1);
    state_machine.apply(core::log_offset{1}, batch_of("a", 2, 0, {proposed(first)}));
    state_machine.apply(core::log_offset{2}, batch_of("b", 1, 0, {proposed(second)}));
    CHECK(state_machine.result_for(first)->accepted);
    CHECK_FALSE(state_machine.result_for(second)->accepted);
    CHECK(state_machine.result_for(second)->reason.find("'n2' of ana") != std::string::npos);
    CHECK(state_machine.policies().pool(core::pool_id{"p"})->priority == 7);
}

TEST_CASE("note results are kept up to the limit and a late copy of a dropped note changes nothing") {
    ledger::config_state_machine state_machine;
    const auto add = batch_of("a", 1, 0, {proposed(note_on("first", "p", release::item_change::add, 0))});
    state_machine.apply(core::log_offset{0}, add);
    state_machine.apply(
        core::log_offset{1},
        batch_of("a", 2, 0, {proposed(note_on("gone", "p", release::item_change::withdraw, 1))}));
    std::uint64_t offset = 2;
    for (std::size_t index = 0; index < ledger::config_state_machine::max_notes; ++index) {
        const auto note = note_on("n" + std::to_string(index), "q", release::item_change::change, 77);
        state_machine.apply(core::log_offset{offset}, batch_of("b", offset, 0, {proposed(note)}));
        ++offset;
    }
    CHECK(state_machine.find_result(core::note_id{"first"}) == nullptr);
    CHECK(state_machine.find_result(core::note_id{"n0"}) != nullptr);
    CHECK(state_machine.apply(core::log_offset{offset}, add) == apply_result::duplicate);
    CHECK(state_machine.apply(core::log_offset{offset + 1}, batch_of("z", 1, 0, add.records)) ==
          apply_result::applied);
    CHECK(state_machine.policies().pool(core::pool_id{"p"}) == nullptr);
    CHECK(state_machine.memory_bytes() < 2'000'000);
}

TEST_CASE("a configuration snapshot plus the entries after it gives the same state as all entries") {
    for (unsigned seed = 1; seed <= 25; ++seed) {
        random_engine random{seed};
        ledger::config_state_machine whole;
        std::map<std::uint64_t, ledger::config_state_machine> readers;
        std::uint64_t offset = 0;
        std::uint64_t sequence = 1'000'000;
        const auto apply_to_all = [&](const ledger::record_batch& batch) {
            const auto read = ledger::decode(ledger::encode(batch));
            whole.apply(core::log_offset{offset}, read);
            for (auto& [from, reader] : readers) {
                reader.apply(core::log_offset{offset}, read);
            }
            ++offset;
        };
        for (const auto& batch : random_batches(random, 120)) {
            apply_to_all(batch);
            if (chance(random, 10)) {
                readers[offset].reset();
                apply_to_all(batch_of(
                    "s", ++sequence, 0,
                    {ledger::snapshot_taken{.state = whole.state(), .at = core::log_offset{offset}}}));
            }
        }
        REQUIRE(readers.size() > 3);
        for (const auto& [from, reader] : readers) {
            CHECK(reader.has_base_state());
            CHECK(reader.state() == whole.state());
        }
        ledger::config_state_machine peer;
        peer.load(whole.state(), whole.next());
        CHECK(peer.state() == whole.state());
        CHECK(peer.policies() == whole.policies());
        CHECK(peer.next() == whole.next());
    }
}

TEST_CASE("a snapshot that was not taken at its own offset does not give a reader a base state") {
    ledger::config_state_machine state_machine;
    const auto add = proposed(note_on("n1", "p", release::item_change::add, 0));
    const auto snapshot = batch_of(
        "b", 1, 0, {ledger::snapshot_taken{.state = state_machine.state(), .at = core::log_offset{1}}});
    state_machine.apply(core::log_offset{0}, batch_of("a", 1, 0, {add}));
    state_machine.apply(core::log_offset{1}, batch_of("a", 2, 0, {add}));
    CHECK(state_machine.apply(core::log_offset{2}, snapshot) == apply_result::misplaced_snapshot);
    ledger::config_state_machine late;
    late.reset();
    CHECK(late.apply(core::log_offset{2}, snapshot) == apply_result::no_base_state);
    CHECK_FALSE(late.has_base_state());
}

TEST_CASE("loading a state that cannot be decoded changes nothing") {
    ledger::config_state_machine state_machine;
    state_machine.apply(core::log_offset{0},
                        batch_of("a", 1, 0, {proposed(note_on("n1", "p", release::item_change::add, 0))}));
    const std::string before = state_machine.state();
    CHECK_THROWS_AS(state_machine.load(before.substr(0, before.size() / 2), core::log_offset{8}),
                    core::invalid_argument);
    CHECK(state_machine.state() == before);
    CHECK(state_machine.next() == core::log_offset{1});
}
