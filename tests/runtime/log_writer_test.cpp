#include "runtime/log_writer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;
using cell::log_status;

constexpr std::size_t remembered_appends = 5;

/// One partition of the platform's log: it fences epochs, checks sequence numbers, answers a repeat of one of
/// the last five appends as it answered the first, and rejects what is longer than its limits.
struct partition {
    cell::log_limits limits;
    std::optional<std::size_t> link_bytes_per_ms; ///< A longer append than fits into its limit is lost.
    std::size_t appends = 0;
    std::size_t rejected_appends = 0;
    std::mutex mutex;
    core::epoch_id epoch;
    core::sequence_number next;
    std::size_t appends_in_epoch = 0;
    std::vector<std::string> values;

    cell::log_append_answer append(const std::vector<cell::keyed_record>& items,
                                   const cell::producer_stamp& stamp, core::milliseconds limit) {
        const std::lock_guard guard{this->mutex};
        this->appends++;
        if (this->link_bytes_per_ms &&
            bytes_of(items) > *this->link_bytes_per_ms * static_cast<std::size_t>(limit.count())) {
            return {.status = log_status::unknown};
        }
        if (this->exceeds_limits(items)) {
            this->rejected_appends++;
            return {.status = log_status::rejected};
        }
        if (stamp.epoch < this->epoch) {
            return {.status = log_status::fenced};
        }
        if (stamp.epoch > this->epoch) {
            this->epoch = stamp.epoch;
            this->next = stamp.sequence;
            this->appends_in_epoch = 0;
        }
        if (stamp.sequence != this->next) {
            const auto age = this->next.value() - stamp.sequence.value();
            const bool repeat =
                stamp.sequence < this->next && age <= std::min(remembered_appends, this->appends_in_epoch);
            return repeat ? cell::log_append_answer{.status = log_status::done}
                          : cell::log_append_answer{.status = log_status::out_of_sequence,
                                                    .expected = this->next};
        }
        this->next = this->next.next();
        this->appends_in_epoch++;
        for (const auto& item : items) {
            this->values.push_back(item.value);
        }
        return {.status = log_status::done};
    }

    [[nodiscard]] bool exceeds_limits(const std::vector<cell::keyed_record>& items) const {
        const bool too_long = std::any_of(items.begin(), items.end(), [this](const auto& item) {
            return item.bytes() > this->limits.max_record_bytes;
        });
        return too_long || bytes_of(items) > this->limits.max_request_bytes;
    }

    [[nodiscard]] std::size_t bytes_of(const std::vector<cell::keyed_record>& items) const {
        std::size_t bytes = 0;
        for (const auto& item : items) {
            bytes += item.bytes() + this->limits.bytes_per_record;
        }
        return bytes;
    }

    [[nodiscard]] bool holds(const std::string& value) {
        const std::lock_guard guard{this->mutex};
        return std::find(this->values.begin(), this->values.end(), value) != this->values.end();
    }

    cell::keyed_log as_log() {
        return {.append = [this](const auto& items, const auto& stamp,
                                 auto limit) { return this->append(items, stamp, limit); },
                .read = nullptr,
                .newest = nullptr,
                .limits = this->limits};
    }
};

log_writer_options options_of(partition& log) {
    return {.producer = "leader", .log = log.as_log()};
}

write_outcome write(log_writer& writer, core::epoch_id epoch, const std::string& value) {
    std::promise<write_outcome> outcome;
    writer.write(epoch, {{.key = "k", .value = value}},
                 [&outcome](write_outcome result) { outcome.set_value(result); });
    return outcome.get_future().get();
}

constexpr core::epoch_id epoch{6};
constexpr std::size_t max_record_bytes = 100;
constexpr std::size_t max_request_bytes = 250;
constexpr std::size_t bytes_per_record = 5;

/// A record of the key "k" and a value of a given size.
cell::keyed_record record_of(std::size_t value_bytes) {
    return {.key = "k", .value = std::string(value_bytes, 'v')};
}

/// Queues writes while the log does not answer, so that they are appended together, and returns their
/// outcomes.
std::vector<write_outcome> write_together(partition& log,
                                          const std::vector<std::vector<cell::keyed_record>>& writes) {
    std::vector<std::promise<write_outcome>> promises(writes.size());
    std::vector<std::future<write_outcome>> futures;
    std::unique_lock gate{log.mutex};
    log_writer writer{options_of(log)};
    writer.write(epoch, {record_of(1)}, [](write_outcome) {});
    for (std::size_t i = 0; i < writes.size(); i++) {
        futures.push_back(promises[i].get_future());
        writer.write(epoch, writes[i],
                     [&promise = promises[i]](write_outcome outcome) { promise.set_value(outcome); });
    }
    gate.unlock();
    std::vector<write_outcome> outcomes;
    for (auto& future : futures) {
        REQUIRE(future.wait_for(5s) == std::future_status::ready);
        outcomes.push_back(future.get());
    }
    return outcomes;
}

} // namespace

// LOST: an append that the log rejected was repeated for ever, in front of all other writes of the host.
TEST_CASE("a write that the log rejects ends at once and takes no other write with it") {
    partition log{.limits = {.max_record_bytes = max_record_bytes}};
    const auto too_long = record_of(max_record_bytes);
    const auto outcomes = write_together(log, {{record_of(10)}, {too_long}, {record_of(20)}});
    CHECK(outcomes == std::vector{write_outcome::stored, write_outcome::rejected, write_outcome::stored});
    CHECK(log.holds(record_of(10).value));
    CHECK(log.holds(record_of(20).value));
    CHECK(log.appends <= 8);
}

TEST_CASE("the other entries of a write are stored if the log rejects one of them") {
    partition log{.limits = {.max_record_bytes = max_record_bytes}};
    const auto too_long = record_of(max_record_bytes);
    const auto outcomes =
        write_together(log, {{record_of(10), record_of(11), too_long, record_of(12), record_of(13)}});
    CHECK(outcomes == std::vector{write_outcome::rejected});
    for (const std::size_t bytes : {10, 11, 12, 13}) {
        CHECK(log.holds(record_of(bytes).value));
    }
    CHECK_FALSE(log.holds(too_long.value));
}

// LOST: a batch was filled up to a number that the log does not know, and could exceed the log's own limit.
TEST_CASE("each append keeps to the limit of the log, also for a write that is larger") {
    partition log{.limits = {.max_record_bytes = max_record_bytes,
                             .max_request_bytes = max_request_bytes,
                             .bytes_per_record = bytes_per_record}};
    std::vector<cell::keyed_record> large;
    for (std::size_t i = 1; i < max_record_bytes; i++) {
        large.push_back(record_of(i));
    }
    const auto outcomes = write_together(log, {{record_of(90)}, {record_of(91)}, {record_of(92)}, large});
    CHECK(outcomes == std::vector<write_outcome>(4, write_outcome::stored));
    CHECK(log.rejected_appends == 0);
    std::vector<std::size_t> sizes;
    for (const auto& value : log.values) {
        sizes.push_back(value.size());
    }
    std::vector<std::size_t> expected{1, 90, 91, 92};
    for (const auto& record : large) {
        expected.push_back(record.value.size());
    }
    CHECK(sizes == expected);
}

// TWICE: hosts that claim the same epoch share the producer's name, so the log took the append of one for a
// repeat of the other's and answered that it is stored.
// LOST: an append that a slow link does not carry within its time limit is repeated unchanged for ever.
TEST_CASE("writes that were queued during an outage are stored over a link of 10 Mbit/s") {
    partition log{.link_bytes_per_ms = 1250};
    const std::vector<std::vector<cell::keyed_record>> writes(30, {record_of(50'000)});
    CHECK(write_together(log, writes) == std::vector(writes.size(), write_outcome::stored));
}

TEST_CASE("an append of a host that lost the claim of an epoch is reported as fenced") {
    partition log;
    log_writer winner{options_of(log)};
    log_writer loser{options_of(log)};
    REQUIRE(write(winner, epoch, "claim of the winner") == write_outcome::stored);
    CHECK(write(loser, epoch, "claim of the loser") == write_outcome::fenced);
    CHECK(write(loser, epoch, "second claim of the loser") == write_outcome::fenced);
    CHECK(write(winner, epoch, "progress") == write_outcome::stored);
    CHECK(log.holds("progress"));
    CHECK_FALSE(log.holds("second claim of the loser"));
}

// Guards against processes that end because the handling of an append's outcome throws on the writer's
// thread.
TEST_CASE("a writer continues after a callback that throws") {
    runtime::log_writer writer{{.producer = "p", .log = {.append = [](const auto&, const auto&, auto) {
                                                     return cell::log_append_answer{
                                                         .status = cell::log_status::done};
                                                 }}}};
    writer.write(epoch, {}, [](runtime::write_outcome) { throw std::runtime_error("odd record"); });
    std::promise<runtime::write_outcome> outcome;
    writer.write(epoch, {}, [&](runtime::write_outcome value) { outcome.set_value(value); });
    auto stored = outcome.get_future();
    REQUIRE(stored.wait_for(5s) == std::future_status::ready);
    CHECK(stored.get() == runtime::write_outcome::stored);
}

} // namespace rattanmount::tests
