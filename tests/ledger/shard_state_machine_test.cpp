#include "ledger/codec.h"
#include "ledger/shard_state_machine.h"
#include "tests/ledger/test_records.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace rattanmount;
using namespace rattanmount::test;
using apply_result = ledger::shard_state_machine::apply_result;

namespace {

/// Applies batches at consecutive offsets, from 0.
class stream {
public:
    apply_result apply(const ledger::record_batch& batch) {
        const apply_result result = this->state_machine.apply(core::log_offset{this->next}, batch);
        ++this->next;
        return result;
    }

    /// Applies records of producer "a" in epoch 1; the first call claims the shard for it.
    void owner_writes(std::vector<ledger::record> records) {
        if (this->next == 0) {
            REQUIRE(this->apply(batch_of("a", 1, 0, {claim_of(0, "a")})) == apply_result::applied);
        }
        const auto batch = batch_of("a", this->next + 1, 1, std::move(records));
        REQUIRE(this->apply(batch) == apply_result::applied);
    }

    const ledger::task_entry& task(const std::string& key, std::size_t index = 0) const {
        return this->state_machine.find(job_named(key))->tasks.at(index);
    }

    ledger::shard_state_machine state_machine{core::shard_id{1}};
    std::uint64_t next = 0;
};

/// One record with the producer and epoch that its batch will have.
struct written_record {
    std::string producer;
    std::uint64_t epoch = 0;
    ledger::record item;
};

/// Generates the records of three hosts that claim, lose and release the shard in turn. All of them are
/// applied.
std::vector<written_record> random_history(random_engine& random, std::size_t length) {
    std::vector<written_record> history;
    std::string owner;
    std::uint64_t epoch = 0;
    while (history.size() < length) {
        if (owner.empty() || chance(random, 4)) {
            owner = std::string(1, static_cast<char>('a' + pick(random, 3)));
            history.push_back({.producer = owner, .epoch = epoch, .item = claim_of(epoch, owner)});
            ++epoch;
        } else if (chance(random, 2)) {
            history.push_back({.producer = owner, .epoch = epoch, .item = ledger::shard_released{}});
            owner.clear();
        } else {
            history.push_back({.producer = owner, .epoch = epoch, .item = random_job_record(random)});
        }
    }
    return history;
}

/// Splits a history into batches at random. The sequence number of a batch is derived from the index of its
/// last record, so that all ways to split end with the same number, with unused numbers in between for a
/// snapshot after the batch.
std::vector<ledger::record_batch> split(random_engine& random, const std::vector<written_record>& history,
                                        std::size_t largest) {
    std::vector<ledger::record_batch> batches;
    for (std::size_t index = 0; index < history.size(); ++index) {
        const written_record& one = history[index];
        const bool fits = !batches.empty() && batches.back().producer.value() == one.producer &&
                          batches.back().epoch.value() == one.epoch &&
                          batches.back().records.size() < largest;
        if (!fits || chance(random, 25)) {
            batches.push_back(batch_of(one.producer, 0, one.epoch, {}));
        }
        batches.back().records.push_back(one.item);
        batches.back().sequence = core::sequence_number{10 * (index + 1)};
    }
    return batches;
}

/// Inserts copies of random batches at random places after the originals.
std::vector<ledger::record_batch> with_duplicates(random_engine& random,
                                                  std::vector<ledger::record_batch> batches) {
    for (int copies = 0; copies < 30; ++copies) {
        const std::size_t from = pick(random, batches.size());
        const std::size_t to = from + 1 + pick(random, batches.size() - from);
        const ledger::record_batch copy = batches[from];
        batches.insert(batches.begin() + static_cast<std::ptrdiff_t>(to), copy);
    }
    return batches;
}

/// Inserts batches of hosts that do not own the shard: no longer, not yet or never.
std::vector<ledger::record_batch> with_other_writers(random_engine& random,
                                                     const std::vector<ledger::record_batch>& batches) {
    std::vector<ledger::record_batch> mixed;
    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t other_sequence = 1'000'000;
    for (const ledger::record_batch& batch : batches) {
        for (const ledger::record& item : batch.records) {
            if (std::holds_alternative<ledger::shard_claimed>(item)) {
                owner = batch.producer.value();
                ++epoch;
            }
        }
        mixed.push_back(batch);
        if (!chance(random, 40)) {
            continue;
        }
        const std::string other(1, static_cast<char>('a' + pick(random, 4)));
        const std::uint64_t other_epoch = other == owner ? pick(random, epoch) : pick(random, epoch + 2);
        const bool claims = chance(random, 30) && epoch > 0;
        mixed.push_back(claims ? batch_of(other, ++other_sequence, epoch,
                                          {claim_of(pick(random, epoch), other), random_job_record(random)})
                               : batch_of(other, ++other_sequence, other_epoch,
                                          {random_job_record(random), random_job_record(random)}));
        // If the owner itself claims an old epoch, the record after the claim would be applied.
        if (claims && other == owner) {
            mixed.back().records.pop_back();
        }
    }
    return mixed;
}

std::string state_after(const std::vector<ledger::record_batch>& batches,
                        ledger::shard_state_machine_options options = {}) {
    ledger::shard_state_machine state_machine{core::shard_id{1}, options};
    for (std::size_t index = 0; index < batches.size(); ++index) {
        state_machine.apply(core::log_offset{index}, ledger::decode(ledger::encode(batches[index])));
    }
    REQUIRE(state_machine.has_base_state());
    return state_machine.state();
}

} // namespace

TEST_CASE("the first claim of an epoch succeeds and later ones are lost") {
    stream log;
    CHECK(log.state_machine.has_base_state());
    CHECK(log.apply(batch_of("a", 1, 0, {claim_of(0, "host-a")})) == apply_result::applied);
    CHECK(log.apply(batch_of("b", 1, 0, {claim_of(0, "host-b")})) == apply_result::lost_claim);
    CHECK(log.state_machine.epoch() == core::epoch_id{1});
    CHECK(log.state_machine.owner() ==
          ledger::shard_owner{core::host_id{"host-a"}, core::incarnation_id{"a"}});
    CHECK(log.apply(batch_of("b", 2, 0, {claim_of(1, "host-b")})) == apply_result::applied);
    CHECK(log.state_machine.epoch() == core::epoch_id{2});
    CHECK(log.apply(batch_of("a", 2, 1, {accepted("k")})) == apply_result::stale);
    CHECK(log.state_machine.jobs().empty());
}

TEST_CASE("after a release nothing is applied until a claim that names the current epoch") {
    stream log;
    log.owner_writes({accepted("k"), ledger::shard_released{}});
    CHECK(log.apply(batch_of("a", 80, 1, {accepted("after")})) == apply_result::stale);
    CHECK_FALSE(log.state_machine.owner());
    CHECK(log.state_machine.epoch() == core::epoch_id{1});
    CHECK(log.state_machine.find(job_named("after")) == nullptr);
    CHECK(log.apply(batch_of("a", 90, 1, {accepted("late")})) == apply_result::stale);
    CHECK(log.apply(batch_of("b", 1, 0, {claim_of(0, "b")})) == apply_result::lost_claim);
    CHECK(log.apply(batch_of("b", 2, 0, {claim_of(1, "b")})) == apply_result::applied);
    CHECK(log.state_machine.find(job_named("k")) != nullptr);
}

TEST_CASE("a duplicate batch changes nothing, even after its producer has lost the shard") {
    stream log;
    log.owner_writes({accepted("k")});
    const auto batch = batch_of("a", 50, 1, {job_over("k"), ledger::job_forgotten{.job = job_named("k")}});
    CHECK(log.apply(batch) == apply_result::applied);
    CHECK(log.apply(batch_of("a", 2, 1, {accepted("k")})) == apply_result::duplicate);
    CHECK(log.state_machine.jobs().empty());
    CHECK(log.apply(batch_of("b", 1, 0, {claim_of(1, "b")})) == apply_result::applied);
    CHECK(log.apply(batch) == apply_result::duplicate);
    CHECK(log.apply(batch_of("a", 51, 1, {accepted("new")})) == apply_result::stale);
}

TEST_CASE("a job's tasks follow the attempts that are recorded in order and ignore all others") {
    stream log;
    log.owner_writes({accepted("k", 2), accepted("k", 3)});
    CHECK(log.state_machine.find(job_named("k"))->tasks.size() == 2);
    log.owner_writes({started("k", 0, 1), started("k", 0, 2), started("k", 7, 1)});
    CHECK(log.task("k").attempt == 1);
    CHECK(log.task("k").phase == core::task_phase::started);
    CHECK(log.task("k").place == "w1");
    log.owner_writes({ended("k", 0, 2, core::attempt_end::finished)});
    CHECK(log.task("k").phase == core::task_phase::started);
    log.owner_writes({ended("k", 0, 1, core::attempt_end::refused)});
    CHECK(log.task("k").phase == core::task_phase::waiting);
    CHECK(log.task("k").failures == 0);
    log.owner_writes({started("k", 0, 1)});
    CHECK(log.task("k").phase == core::task_phase::waiting);
    log.owner_writes({started("k", 0, 2), ended("k", 0, 2, core::attempt_end::lost), started("k", 0, 3)});
    CHECK(log.task("k").failures == 1);
    CHECK(log.task("k").attempt == 3);
    log.owner_writes({ended("k", 0, 3, core::attempt_end::finished), started("k", 0, 4)});
    CHECK(log.task("k").phase == core::task_phase::ended);
    CHECK(log.task("k").attempt == 3);
    log.owner_writes({job_over("k"), started("k", 1, 1), job_over("k", core::outcome::failed)});
    CHECK(log.state_machine.find(job_named("k"))->ended == core::outcome::completed);
    CHECK(log.task("k", 1).phase == core::task_phase::ended);
    CHECK(log.task("k", 1).attempt == 0);
}

TEST_CASE("work that is not idempotent is never started again after an attempt that may have run") {
    using core::attempt_end;
    for (const auto end :
         {attempt_end::finished, attempt_end::failed, attempt_end::lost, attempt_end::stopped}) {
        stream log;
        log.owner_writes({accepted("pay", 1, false), started("pay", 0, 1),
                          ended("pay", 0, 1, attempt_end::refused), started("pay", 0, 2)});
        REQUIRE(log.task("pay").attempt == 2);
        log.owner_writes({ended("pay", 0, 2, end), started("pay", 0, 3)});
        CHECK(log.task("pay").attempt == 2);
        CHECK(log.task("pay").phase != core::task_phase::started);
    }
}

TEST_CASE("a service's task returns to waiting when an attempt has finished") {
    stream log;
    ledger::job_accepted service = accepted("svc");
    service.spec.kind = core::work_kind::service;
    log.owner_writes({service, started("svc", 0, 1), ended("svc", 0, 1, core::attempt_end::finished)});
    CHECK(log.task("svc").phase == core::task_phase::waiting);
}

TEST_CASE("a cancelled job starts no more tasks, and its running tasks can still end") {
    stream log;
    log.owner_writes({accepted("k", 2), started("k", 0, 1),
                      ledger::job_cancelled{.job = job_named("k"), .at = at_second(4)}, started("k", 1, 1)});
    CHECK(log.state_machine.find(job_named("k"))->cancelled);
    CHECK(log.task("k", 1).phase == core::task_phase::waiting);
    log.owner_writes({ended("k", 0, 1, core::attempt_end::stopped), started("k", 0, 2)});
    CHECK(log.task("k").last_end == core::attempt_end::stopped);
    CHECK(log.task("k").attempt == 1);
}

TEST_CASE("a job can be moved only if no task was ever started, and deleted once the move is confirmed") {
    stream log;
    const auto move = [](const std::string& key, std::uint64_t to) {
        return ledger::job_moved{.job = job_named(key), .to = core::shard_id{to}};
    };
    log.owner_writes({accepted("ran"), started("ran", 0, 1), ended("ran", 0, 1, core::attempt_end::refused),
                      move("ran", 2)});
    CHECK_FALSE(log.state_machine.find(job_named("ran"))->moved_to);
    log.owner_writes({accepted("new"), move("new", 1)});
    CHECK_FALSE(log.state_machine.find(job_named("new"))->moved_to);
    log.owner_writes({move("new", 2), move("new", 3), started("new", 0, 1), job_over("new"),
                      ledger::job_forgotten{.job = job_named("new")}});
    CHECK(log.state_machine.find(job_named("new"))->moved_to == core::shard_id{2});
    CHECK_FALSE(log.state_machine.find(job_named("new"))->ended);
    CHECK(log.task("new").attempt == 0);
    log.owner_writes({ledger::move_confirmed{.job = job_named("new")}});
    CHECK(log.state_machine.find(job_named("new"))->move_confirmed);
    log.owner_writes(
        {ledger::job_forgotten{.job = job_named("new")}, ledger::job_forgotten{.job = job_named("ran")}});
    CHECK(log.state_machine.find(job_named("new")) == nullptr);
    CHECK(log.state_machine.find(job_named("ran")) != nullptr);
}

TEST_CASE("the state does not depend on batch boundaries, duplicate batches or batches of other hosts") {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        random_engine random{seed};
        const auto history = random_history(random, 150);
        const std::string expected = state_after(split(random, history, 1));
        CHECK(state_after(split(random, history, 40)) == expected);
        CHECK(state_after(with_duplicates(random, split(random, history, 10))) == expected);
        CHECK(state_after(with_other_writers(random, split(random, history, 1))) == expected);
        CHECK(state_after(with_duplicates(random, with_other_writers(random, split(random, history, 5)))) ==
              expected);
    }
}

TEST_CASE("an ended job that keeps only the payload's hash still recognises its request") {
    const ledger::shard_state_machine_options hash_only{.keep_ended_payloads = false};
    ledger::shard_state_machine state_machine{core::shard_id{1}, hash_only};
    state_machine.apply(core::log_offset{0}, batch_of("a", 1, 0, {claim_of(0, "a")}));
    state_machine.apply(core::log_offset{1}, batch_of("a", 2, 1, {accepted("k")}));
    CHECK(state_machine.find(job_named("k"))->spec.payload == spec_of("k").payload);
    CHECK(state_machine.find(job_named("k"))->matches(spec_of("k")));
    state_machine.apply(core::log_offset{2}, batch_of("a", 3, 1, {job_over("k")}));
    ledger::shard_state_machine loaded{core::shard_id{1}, hash_only};
    loaded.reset();
    const ledger::snapshot_taken snapshot{.state = state_machine.state(), .at = core::log_offset{3}};
    REQUIRE(loaded.apply(core::log_offset{3}, batch_of("a", 4, 1, {snapshot})) == apply_result::applied);
    const ledger::job_entry& entry = *loaded.find(job_named("k"));
    CHECK(entry.spec.payload.empty());
    CHECK(entry.matches(spec_of("k")));
    core::job_spec other = spec_of("k");
    other.payload += "!";
    CHECK_FALSE(entry.matches(other));
    other = spec_of("k");
    other.tasks = 2;
    CHECK_FALSE(entry.matches(other));
    for (unsigned seed = 1; seed <= 10; ++seed) {
        random_engine random{seed};
        const auto history = random_history(random, 150);
        CHECK(state_after(split(random, history, 1), hash_only) ==
              state_after(split(random, history, 9), hash_only));
    }
}

TEST_CASE("a snapshot plus the entries after it gives the same state as all entries") {
    for (unsigned seed = 1; seed <= 25; ++seed) {
        random_engine random{seed};
        const auto batches = with_duplicates(random, split(random, random_history(random, 120), 6));
        ledger::shard_state_machine whole{core::shard_id{1}};
        std::map<std::uint64_t, ledger::shard_state_machine> readers;
        std::uint64_t offset = 0;
        const auto apply_to_all = [&](const ledger::record_batch& batch) {
            const apply_result expected = whole.apply(core::log_offset{offset}, batch);
            for (auto& [from, reader] : readers) {
                CHECK(reader.apply(core::log_offset{offset}, batch) == expected);
            }
            ++offset;
            return expected;
        };
        for (const ledger::record_batch& batch : batches) {
            const bool applied = apply_to_all(batch) == apply_result::applied;
            if (applied && whole.owner() && chance(random, 40)) {
                readers.emplace(offset, core::shard_id{1}).first->second.reset();
                const ledger::snapshot_taken snapshot{.state = whole.state(), .at = core::log_offset{offset}};
                const auto taken = batch_of(batch.producer.value(), batch.sequence.value() + 1,
                                            whole.epoch().value(), {snapshot});
                REQUIRE(apply_to_all(taken) == apply_result::applied);
            }
        }
        REQUIRE(readers.size() > 3);
        for (const auto& [from, reader] : readers) {
            CHECK(reader.has_base_state());
            CHECK(reader.state() == whole.state());
        }
    }
}

TEST_CASE("only a valid snapshot of the owner gives a reader that starts in the middle a base state") {
    stream log;
    log.owner_writes({accepted("k")});
    const std::string old_state = log.state_machine.state();
    const auto snapshot = [](const std::string& producer, std::uint64_t epoch, const std::string& state,
                             std::uint64_t at) {
        return batch_of(producer, 500, epoch,
                        {ledger::snapshot_taken{.state = state, .at = core::log_offset{at}}});
    };
    REQUIRE(log.apply(batch_of("b", 1, 0, {claim_of(1, "b")})) == apply_result::applied);
    // "a" took its snapshot at offset 2, before it had read the claim of "b" at that offset.
    CHECK(log.apply(snapshot("a", 1, old_state, 2)) == apply_result::stale);
    CHECK(log.apply(snapshot("b", 2, log.state_machine.state(), 3)) == apply_result::stale);

    ledger::shard_state_machine late{core::shard_id{1}};
    late.reset();
    CHECK_FALSE(late.has_base_state());
    CHECK(late.apply(core::log_offset{3}, snapshot("a", 1, old_state, 2)) == apply_result::no_base_state);
    CHECK(late.apply(core::log_offset{4}, snapshot("a", 1, "no state", 4)) == apply_result::no_base_state);
    CHECK(late.apply(core::log_offset{5}, snapshot("c", 2, log.state_machine.state(), 5)) ==
          apply_result::no_base_state);
    CHECK(late.apply(core::log_offset{6}, batch_of("b", 2, 2, {accepted("x")})) ==
          apply_result::no_base_state);
    CHECK_FALSE(late.has_base_state());
    CHECK(late.jobs().empty());
    CHECK(late.apply(core::log_offset{7}, snapshot("b", 2, log.state_machine.state(), 7)) ==
          apply_result::applied);
    CHECK(late.has_base_state());
    CHECK(late.find(job_named("k")) != nullptr);
}

TEST_CASE(
    "a gap in the offsets loses the base state and an offset that was already applied changes nothing") {
    stream log;
    log.owner_writes({accepted("k")});
    CHECK(log.state_machine.apply(core::log_offset{1}, batch_of("a", 70, 1, {accepted("x")})) ==
          apply_result::duplicate);
    CHECK(log.state_machine.jobs().size() == 1);
    CHECK(log.state_machine.apply(core::log_offset{9}, batch_of("a", 71, 1, {accepted("y")})) ==
          apply_result::no_base_state);
    CHECK_FALSE(log.state_machine.has_base_state());
    CHECK(log.state_machine.jobs().empty());
}

TEST_CASE("a snapshot of another shard does not give a base state") {
    stream log;
    log.owner_writes({accepted("k")});
    ledger::shard_state_machine other{core::shard_id{2}};
    other.reset();
    const auto batch = batch_of(
        "a", 500, 1, {ledger::snapshot_taken{.state = log.state_machine.state(), .at = core::log_offset{2}}});
    CHECK(other.apply(core::log_offset{2}, batch) == apply_result::no_base_state);
}
