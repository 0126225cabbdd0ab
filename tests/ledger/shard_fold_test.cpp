#include "ledger/codec.h"
#include "ledger/shard_fold.h"
#include "tests/ledger/test_records.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace rattanmount;
using namespace rattanmount::test;
using ledger::shard_fold;
using verdict = ledger::shard_fold::verdict;

namespace {

/// Folds batches at the offsets 0, 1, 2 and so on.
class stream {
public:
    verdict apply(const ledger::record_batch& batch) {
        const verdict result = this->fold.apply(core::log_offset{this->next}, batch);
        ++this->next;
        return result;
    }

    /// Applies records of producer "a" in epoch 1 that were claimed for it.
    void owner_writes(std::vector<ledger::record> records) {
        if (this->next == 0) {
            REQUIRE(this->apply(batch_of("a", 1, 0, {claim_of(0, "a")})) == verdict::counted);
        }
        const auto batch = batch_of("a", this->next + 1, 1, std::move(records));
        REQUIRE(this->apply(batch) == verdict::counted);
    }

    const ledger::task_entry& task(const std::string& key, std::size_t index = 0) const {
        return this->fold.find(job_named(key))->tasks.at(index);
    }

    shard_fold fold{core::shard_id{1}};
    std::uint64_t next = 0;
};

/// One record with the writer that the log will show.
struct written_record {
    std::string producer;
    std::uint64_t epoch = 0;
    ledger::record item;
};

/// What three hosts write that claim, lose and release the shard in turn; all of it counts.
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

/// Cuts a history into batches at random. A batch's sequence comes from the index of its last record, so
/// that two ways of cutting end with the same one, and leaves room for a snapshot after it.
std::vector<ledger::record_batch> cut(random_engine& random, const std::vector<written_record>& history,
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

/// Puts copies of batches anywhere after them.
std::vector<ledger::record_batch> with_copies(random_engine& random,
                                              std::vector<ledger::record_batch> batches) {
    for (int copies = 0; copies < 30; ++copies) {
        const std::size_t from = pick(random, batches.size());
        const std::size_t to = from + 1 + pick(random, batches.size() - from);
        const ledger::record_batch copy = batches[from];
        batches.insert(batches.begin() + static_cast<std::ptrdiff_t>(to), copy);
    }
    return batches;
}

/// Puts batches of hosts that own the shard no longer, or not yet, or never, between the others.
std::vector<ledger::record_batch> with_rivals(random_engine& random,
                                              const std::vector<ledger::record_batch>& batches) {
    std::vector<ledger::record_batch> mixed;
    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t rival_sequence = 1'000'000;
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
        const std::string rival(1, static_cast<char>('a' + pick(random, 4)));
        const std::uint64_t rival_epoch = rival == owner ? pick(random, epoch) : pick(random, epoch + 2);
        const bool claims = chance(random, 30) && epoch > 0;
        mixed.push_back(claims ? batch_of(rival, ++rival_sequence, epoch,
                                          {claim_of(pick(random, epoch), rival), random_job_record(random)})
                               : batch_of(rival, ++rival_sequence, rival_epoch,
                                          {random_job_record(random), random_job_record(random)}));
        // A claim of an old epoch by the owner itself would be followed by a record that counts.
        if (claims && rival == owner) {
            mixed.back().records.pop_back();
        }
    }
    return mixed;
}

std::string state_after(const std::vector<ledger::record_batch>& batches,
                        ledger::shard_fold_options options = {}) {
    shard_fold fold{core::shard_id{1}, options};
    for (std::size_t index = 0; index < batches.size(); ++index) {
        fold.apply(core::log_offset{index}, ledger::decode(ledger::encode(batches[index])));
    }
    REQUIRE(fold.anchored());
    return fold.state();
}

} // namespace

TEST_CASE("the first claim of an epoch wins and the others are lost") {
    stream log;
    CHECK(log.fold.anchored());
    CHECK(log.apply(batch_of("a", 1, 0, {claim_of(0, "host-a")})) == verdict::counted);
    CHECK(log.apply(batch_of("b", 1, 0, {claim_of(0, "host-b")})) == verdict::lost_claim);
    CHECK(log.fold.epoch() == core::epoch_id{1});
    CHECK(log.fold.owner() == ledger::shard_owner{core::host_id{"host-a"}, core::incarnation_id{"a"}});
    CHECK(log.apply(batch_of("b", 2, 0, {claim_of(1, "host-b")})) == verdict::counted);
    CHECK(log.fold.epoch() == core::epoch_id{2});
    CHECK(log.apply(batch_of("a", 2, 1, {accepted("k")})) == verdict::stale);
    CHECK(log.fold.jobs().empty());
}

TEST_CASE("after a release nothing counts until a claim that names the same epoch") {
    stream log;
    log.owner_writes({accepted("k"), ledger::shard_released{}});
    CHECK(log.apply(batch_of("a", 80, 1, {accepted("after")})) == verdict::stale);
    CHECK_FALSE(log.fold.owner());
    CHECK(log.fold.epoch() == core::epoch_id{1});
    CHECK(log.fold.find(job_named("after")) == nullptr);
    CHECK(log.apply(batch_of("a", 90, 1, {accepted("late")})) == verdict::stale);
    CHECK(log.apply(batch_of("b", 1, 0, {claim_of(0, "b")})) == verdict::lost_claim);
    CHECK(log.apply(batch_of("b", 2, 0, {claim_of(1, "b")})) == verdict::counted);
    CHECK(log.fold.find(job_named("k")) != nullptr);
}

TEST_CASE("a repeat folds to nothing, also after its producer lost the shard") {
    stream log;
    log.owner_writes({accepted("k")});
    const auto batch = batch_of("a", 50, 1, {job_over("k"), ledger::job_forgotten{.job = job_named("k")}});
    CHECK(log.apply(batch) == verdict::counted);
    CHECK(log.apply(batch_of("a", 2, 1, {accepted("k")})) == verdict::repeat);
    CHECK(log.fold.jobs().empty());
    CHECK(log.apply(batch_of("b", 1, 0, {claim_of(1, "b")})) == verdict::counted);
    CHECK(log.apply(batch) == verdict::repeat);
    CHECK(log.apply(batch_of("a", 51, 1, {accepted("new")})) == verdict::stale);
}

TEST_CASE("a job goes through its attempts") {
    stream log;
    log.owner_writes({accepted("k", 2), accepted("k", 3)});
    CHECK(log.fold.find(job_named("k"))->tasks.size() == 2);
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
    CHECK(log.fold.find(job_named("k"))->ended == core::outcome::completed);
    CHECK(log.task("k", 1).phase == core::task_phase::ended);
    CHECK(log.task("k", 1).attempt == 0);
}

TEST_CASE("work that is not idempotent never starts again after an attempt that may have run") {
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

TEST_CASE("a service's task waits for its next start when it has ended") {
    stream log;
    ledger::job_accepted service = accepted("svc");
    service.spec.kind = core::work_kind::service;
    log.owner_writes({service, started("svc", 0, 1), ended("svc", 0, 1, core::attempt_end::finished)});
    CHECK(log.task("svc").phase == core::task_phase::waiting);
}

TEST_CASE("a cancelled job starts nothing more, and what runs can still end") {
    stream log;
    log.owner_writes({accepted("k", 2), started("k", 0, 1),
                      ledger::job_cancelled{.job = job_named("k"), .at = at_second(4)}, started("k", 1, 1)});
    CHECK(log.fold.find(job_named("k"))->cancelled);
    CHECK(log.task("k", 1).phase == core::task_phase::waiting);
    log.owner_writes({ended("k", 0, 1, core::attempt_end::stopped), started("k", 0, 2)});
    CHECK(log.task("k").last_end == core::attempt_end::stopped);
    CHECK(log.task("k").attempt == 1);
}

TEST_CASE("a job is moved only if nothing of it was ever started, and forgotten once confirmed") {
    stream log;
    const auto move = [](const std::string& key, std::uint64_t to) {
        return ledger::job_moved{.job = job_named(key), .to = core::shard_id{to}};
    };
    log.owner_writes({accepted("ran"), started("ran", 0, 1), ended("ran", 0, 1, core::attempt_end::refused),
                      move("ran", 2)});
    CHECK_FALSE(log.fold.find(job_named("ran"))->moved_to);
    log.owner_writes({accepted("new"), move("new", 1)});
    CHECK_FALSE(log.fold.find(job_named("new"))->moved_to);
    log.owner_writes({move("new", 2), move("new", 3), started("new", 0, 1), job_over("new"),
                      ledger::job_forgotten{.job = job_named("new")}});
    CHECK(log.fold.find(job_named("new"))->moved_to == core::shard_id{2});
    CHECK_FALSE(log.fold.find(job_named("new"))->ended);
    CHECK(log.task("new").attempt == 0);
    log.owner_writes({ledger::move_confirmed{.job = job_named("new")}});
    CHECK(log.fold.find(job_named("new"))->move_confirmed);
    log.owner_writes(
        {ledger::job_forgotten{.job = job_named("new")}, ledger::job_forgotten{.job = job_named("ran")}});
    CHECK(log.fold.find(job_named("new")) == nullptr);
    CHECK(log.fold.find(job_named("ran")) != nullptr);
}

TEST_CASE("the same records give the same state in any batches, with any copies and any rivals") {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        random_engine random{seed};
        const auto history = random_history(random, 150);
        const std::string expected = state_after(cut(random, history, 1));
        CHECK(state_after(cut(random, history, 40)) == expected);
        CHECK(state_after(with_copies(random, cut(random, history, 10))) == expected);
        CHECK(state_after(with_rivals(random, cut(random, history, 1))) == expected);
        CHECK(state_after(with_copies(random, with_rivals(random, cut(random, history, 5)))) == expected);
    }
}

TEST_CASE("a job that has ended can keep its payload's hash only, and still knows its request") {
    const ledger::shard_fold_options lean{.keep_ended_payloads = false};
    shard_fold fold{core::shard_id{1}, lean};
    fold.apply(core::log_offset{0}, batch_of("a", 1, 0, {claim_of(0, "a")}));
    fold.apply(core::log_offset{1}, batch_of("a", 2, 1, {accepted("k")}));
    CHECK(fold.find(job_named("k"))->spec.payload == spec_of("k").payload);
    CHECK(fold.find(job_named("k"))->matches(spec_of("k")));
    fold.apply(core::log_offset{2}, batch_of("a", 3, 1, {job_over("k")}));
    shard_fold loaded{core::shard_id{1}, lean};
    loaded.reset();
    const ledger::snapshot_taken snapshot{.state = fold.state(), .at = core::log_offset{3}};
    REQUIRE(loaded.apply(core::log_offset{3}, batch_of("a", 4, 1, {snapshot})) == verdict::counted);
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
        CHECK(state_after(cut(random, history, 1), lean) == state_after(cut(random, history, 9), lean));
    }
}

TEST_CASE("a snapshot at any point and the rest give the same state as the whole") {
    for (unsigned seed = 1; seed <= 25; ++seed) {
        random_engine random{seed};
        const auto batches = with_copies(random, cut(random, random_history(random, 120), 6));
        shard_fold whole{core::shard_id{1}};
        std::map<std::uint64_t, shard_fold> parts;
        std::uint64_t offset = 0;
        const auto apply_to_all = [&](const ledger::record_batch& batch) {
            const verdict expected = whole.apply(core::log_offset{offset}, batch);
            for (auto& [from, part] : parts) {
                CHECK(part.apply(core::log_offset{offset}, batch) == expected);
            }
            ++offset;
            return expected;
        };
        for (const ledger::record_batch& batch : batches) {
            const bool counted = apply_to_all(batch) == verdict::counted;
            if (counted && whole.owner() && chance(random, 40)) {
                parts.emplace(offset, core::shard_id{1}).first->second.reset();
                const ledger::snapshot_taken snapshot{.state = whole.state(), .at = core::log_offset{offset}};
                const auto taken = batch_of(batch.producer.value(), batch.sequence.value() + 1,
                                            whole.epoch().value(), {snapshot});
                REQUIRE(apply_to_all(taken) == verdict::counted);
            }
        }
        REQUIRE(parts.size() > 3);
        for (const auto& [from, part] : parts) {
            CHECK(part.anchored());
            CHECK(part.state() == whole.state());
        }
    }
}

TEST_CASE("a reader that starts in the middle is not anchored by anything but a snapshot that counts") {
    stream log;
    log.owner_writes({accepted("k")});
    const std::string old_state = log.fold.state();
    const auto snapshot = [](const std::string& producer, std::uint64_t epoch, const std::string& state,
                             std::uint64_t at) {
        return batch_of(producer, 500, epoch,
                        {ledger::snapshot_taken{.state = state, .at = core::log_offset{at}}});
    };
    REQUIRE(log.apply(batch_of("b", 1, 0, {claim_of(1, "b")})) == verdict::counted);
    // "a" took its snapshot at offset 2, before the claim that it had not read.
    CHECK(log.apply(snapshot("a", 1, old_state, 2)) == verdict::stale);
    CHECK(log.apply(snapshot("b", 2, log.fold.state(), 3)) == verdict::stale);

    shard_fold late{core::shard_id{1}};
    late.reset();
    CHECK_FALSE(late.anchored());
    CHECK(late.apply(core::log_offset{3}, snapshot("a", 1, old_state, 2)) == verdict::unanchored);
    CHECK(late.apply(core::log_offset{4}, snapshot("a", 1, "no state", 4)) == verdict::unanchored);
    CHECK(late.apply(core::log_offset{5}, snapshot("c", 2, log.fold.state(), 5)) == verdict::unanchored);
    CHECK(late.apply(core::log_offset{6}, batch_of("b", 2, 2, {accepted("x")})) == verdict::unanchored);
    CHECK_FALSE(late.anchored());
    CHECK(late.jobs().empty());
    CHECK(late.apply(core::log_offset{7}, snapshot("b", 2, log.fold.state(), 7)) == verdict::counted);
    CHECK(late.anchored());
    CHECK(late.find(job_named("k")) != nullptr);
}

TEST_CASE("a gap in the offsets takes the anchor away and an offset seen before folds to nothing") {
    stream log;
    log.owner_writes({accepted("k")});
    CHECK(log.fold.apply(core::log_offset{1}, batch_of("a", 70, 1, {accepted("x")})) == verdict::repeat);
    CHECK(log.fold.jobs().size() == 1);
    CHECK(log.fold.apply(core::log_offset{9}, batch_of("a", 71, 1, {accepted("y")})) == verdict::unanchored);
    CHECK_FALSE(log.fold.anchored());
    CHECK(log.fold.jobs().empty());
}

TEST_CASE("a snapshot of another shard does not anchor") {
    stream log;
    log.owner_writes({accepted("k")});
    shard_fold other{core::shard_id{2}};
    other.reset();
    const auto batch =
        batch_of("a", 500, 1, {ledger::snapshot_taken{.state = log.fold.state(), .at = core::log_offset{2}}});
    CHECK(other.apply(core::log_offset{2}, batch) == verdict::unanchored);
}
