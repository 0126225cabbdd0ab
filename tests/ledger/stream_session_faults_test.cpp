#include "ledger/codec.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stream_session.h"
#include "tests/ledger/fake_log.h"
#include "tests/ledger/test_records.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>

using namespace rattanmount;
using namespace rattanmount::test;
using external::append_outcome;

namespace {

/// The log together with a reference state machine that applies every entry as it is stored. It gives the
/// expected outcome of each record.
class reference_log {
public:
    core::log_offset append(const std::string& bytes) {
        const core::log_offset offset = this->log.append(bytes);
        const auto batch = ledger::decode(bytes);
        const bool applied =
            this->state_machine.apply(offset, batch) == ledger::shard_state_machine::apply_result::applied;
        for (const ledger::record& item : batch.records) {
            const std::string label = label_of(item);
            this->applied_labels[label] = this->applied_labels[label] || applied;
            if (applied && std::holds_alternative<ledger::snapshot_taken>(item)) {
                this->last_snapshot = offset.value();
            }
        }
        return offset;
    }

    /// @return the expected outcome of a record.
    ledger::record_outcome expected_outcome(const std::string& label) const {
        const auto found = this->applied_labels.find(label);
        if (found == this->applied_labels.end()) {
            return ledger::record_outcome::absent;
        }
        return found->second ? ledger::record_outcome::recorded : ledger::record_outcome::superseded;
    }

    /// @return a label that identifies a record; each label is written only once.
    static std::string label_of(const ledger::record& item) {
        if (const auto* job = std::get_if<ledger::job_accepted>(&item)) {
            return job->spec.id.key.value();
        }
        if (const auto* claimed = std::get_if<ledger::shard_claimed>(&item)) {
            return claimed->host.value();
        }
        return "other";
    }

    fake_log log;
    ledger::shard_state_machine state_machine{core::shard_id{1}};
    std::uint64_t last_snapshot = 0;

private:
    std::map<std::string, bool> applied_labels;
};

/// An entry host that claims the shard from time to time and accepts jobs while it believes that it owns it.
class host {
public:
    host(std::string name, reference_log& log, random_engine& random)
        : name(std::move(name)), log(log), random(random), session(this->options()) {}

    void step(core::steady_time now, bool faults) {
        this->deliver(now, faults);
        if (const auto request = this->session.next_append(now)) {
            this->send(*request, faults);
        }
        if (const auto request = this->session.next_read(now)) {
            this->read_from = request->from;
            this->read_reply = chance(this->random, faults ? 85 : 100)
                                   ? this->log.log.read(request->from, 1 + pick(this->random, 8))
                                   : external::read_reply{};
        }
    }

    void work() {
        const bool owns =
            this->state_machine.owner() && this->state_machine.owner()->incarnation.value() == this->name;
        if (this->has_epoch && chance(this->random, 50)) {
            this->add(accepted(this->next_label()), chance(this->random, 40));
        }
        if (!owns && this->session.caught_up() && chance(this->random, 3)) {
            this->claim();
        }
        if (owns && chance(this->random, 4)) {
            ++this->added;
            this->session.add(ledger::snapshot_taken{}, {.cancellable = chance(this->random, 50)},
                              [this](ledger::record_outcome) { ++this->completed; });
        }
        if (chance(this->random, 2)) {
            this->session.cancel_queued();
        }
    }

    /// Stores one append that was delayed.
    void store_delayed_append() {
        if (!this->delayed_appends.empty()) {
            this->log.append(this->delayed_appends.back());
            this->delayed_appends.pop_back();
        }
    }

    bool is_idle() const {
        return this->session.pending() == 0 && this->delayed_appends.empty() && !this->append_reply &&
               !this->read_reply && this->session.caught_up();
    }

    std::string name;
    std::map<std::string, ledger::record_outcome> outcomes;
    std::size_t added = 0;
    std::size_t completed = 0;

private:
    ledger::session_options options() {
        return {.producer = core::incarnation_id{this->name},
                .stream = core::stream_id{"shard-1"},
                .max_records_per_batch = 4,
                .apply =
                    [this](core::log_offset offset, const ledger::record_batch& batch) {
                        return ledger::shard_state_machine::is_applied(
                            this->state_machine.apply(offset, batch));
                    },
                .reset = [this] { this->state_machine.reset(); },
                .state = [this] { return this->state_machine.state(); }};
    }

    std::string next_label() { return this->name + "-" + std::to_string(++this->label_count); }

    void add(ledger::record item, bool cancellable, bool own_batch = false) {
        const std::string label = reference_log::label_of(item);
        ++this->added;
        this->session.add(std::move(item), {.cancellable = cancellable, .own_batch = own_batch},
                          [this, label](ledger::record_outcome result) { this->on_result(label, result); });
    }

    void claim() { this->add(claim_of(this->state_machine.epoch().value(), this->next_label()), true, true); }

    void on_result(const std::string& label, ledger::record_outcome result) {
        ++this->completed;
        CHECK(this->outcomes.emplace(label, result).second);
        const bool owns = this->state_machine.owner() && this->state_machine.owner()->host.value() == label;
        if (result == ledger::record_outcome::recorded && owns) {
            this->session.set_epoch(this->state_machine.epoch());
            this->has_epoch = true;
        }
    }

    void send(const ledger::append_request& request, bool faults) {
        external::append_reply reply{.outcome = append_outcome::unknown};
        const std::size_t dice = faults ? pick(this->random, 100) : 0;
        if (dice < 55) {
            reply = {.outcome = append_outcome::stored, .offset = this->log.append(request.bytes)};
        } else if (dice < 68) {
            this->log.append(request.bytes);
        } else if (dice < 80) {
            this->delayed_appends.push_back(request.bytes);
        } else if (dice < 90) {
            reply.outcome = append_outcome::not_stored;
        }
        if (faults && reply.outcome != append_outcome::not_stored && chance(this->random, 5)) {
            this->delayed_appends.push_back(request.bytes);
        }
        this->append_reply = reply;
        this->sent = request.sequence;
    }

    void deliver(core::steady_time now, bool faults) {
        if (this->append_reply && chance(this->random, faults ? 50 : 100)) {
            const auto reply = *std::exchange(this->append_reply, std::nullopt);
            this->session.on_append(this->sent, reply, now);
        }
        if (this->read_reply && chance(this->random, faults ? 50 : 100)) {
            const auto reply = *std::exchange(this->read_reply, std::nullopt);
            this->session.on_read(this->read_from, reply, now);
        }
    }

    reference_log& log;
    random_engine& random;

public:
    ledger::shard_state_machine state_machine{core::shard_id{1}};
    ledger::stream_session session;

private:
    std::vector<std::string> delayed_appends; ///< Appends that will take effect later.
    std::optional<external::append_reply> append_reply;
    std::optional<external::read_reply> read_reply;
    core::sequence_number sent;
    core::log_offset read_from;
    std::size_t label_count = 0;
    bool has_epoch = false;
};

/// Totals over all rounds, to verify that the faults did occur.
struct outcome_counts {
    std::map<ledger::record_outcome, std::size_t> count;
    std::uint64_t resets = 0;
};

void run_faults(random_engine& random, reference_log& log, std::vector<std::unique_ptr<host>>& hosts,
                core::steady_time& now) {
    for (int step = 0; step < 1500; ++step) {
        now += core::milliseconds{pick(random, 120)};
        host& one = *hosts[pick(random, hosts.size())];
        one.step(now, true);
        one.work();
        if (chance(random, 20)) {
            hosts[pick(random, hosts.size())]->store_delayed_append();
        }
        if (chance(random, 2)) {
            log.log.expire(log.last_snapshot - std::min(log.last_snapshot, pick(random, 4)));
        }
    }
}

bool run_until_idle(std::vector<std::unique_ptr<host>>& hosts, core::steady_time& now) {
    for (int step = 0; step < 5000; ++step) {
        now += core::milliseconds{50};
        bool all_idle = true;
        for (const auto& one : hosts) {
            one->store_delayed_append();
            one->step(now, false);
            all_idle = all_idle && one->is_idle();
        }
        if (all_idle) {
            return true;
        }
    }
    return false;
}

/// Runs three hosts on one stream, first with faults, then without.
void run_round(unsigned seed, outcome_counts& seen) {
    random_engine random{seed};
    reference_log log;
    std::vector<std::unique_ptr<host>> hosts;
    for (const char* name : {"a", "b", "c"}) {
        hosts.push_back(std::make_unique<host>(name, log, random));
    }
    core::steady_time now{std::chrono::hours{1}};
    run_faults(random, log, hosts, now);
    REQUIRE(run_until_idle(hosts, now));
    // Entries may have been stored after the last read of another host; the hosts poll again after this time.
    now += std::chrono::seconds{5};
    REQUIRE(run_until_idle(hosts, now));
    for (const auto& one : hosts) {
        CHECK(one->completed == one->added);
        CHECK(one->state_machine.has_base_state());
        CHECK(one->state_machine.state() == log.state_machine.state());
        seen.resets += one->session.resets();
        for (const auto& [label, result] : one->outcomes) {
            INFO("record " << label);
            CHECK(result == log.expected_outcome(label));
            ++seen.count[result];
        }
    }
}

} // namespace

TEST_CASE("each record gets exactly one outcome, and the right one, whatever happens to the calls") {
    outcome_counts seen;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        run_round(seed, seen);
    }
    CHECK(seen.count[ledger::record_outcome::recorded] > 1000);
    CHECK(seen.count[ledger::record_outcome::superseded] > 100);
    CHECK(seen.count[ledger::record_outcome::absent] > 100);
    CHECK(seen.resets > 10);
}
