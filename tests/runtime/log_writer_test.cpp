#include "runtime/log_writer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using namespace runtime;
using cell::log_status;

constexpr std::size_t remembered_appends = 5;

/// One partition of the platform's log: it fences epochs, checks sequence numbers and answers a repeat of one
/// of the last five appends as it answered the first.
struct partition {
    std::mutex mutex;
    core::epoch_id epoch;
    core::sequence_number next;
    std::size_t appends_in_epoch = 0;
    std::vector<std::string> values;

    cell::log_append_answer append(const std::vector<cell::keyed_record>& items,
                                   const cell::producer_stamp& stamp) {
        const std::lock_guard guard{this->mutex};
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

    [[nodiscard]] bool holds(const std::string& value) {
        const std::lock_guard guard{this->mutex};
        return std::find(this->values.begin(), this->values.end(), value) != this->values.end();
    }

    cell::keyed_log as_log() {
        return {.append = [this](const auto& items, const auto& stamp,
                                 auto) { return this->append(items, stamp); },
                .read = nullptr,
                .newest = nullptr};
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

} // namespace

// TWICE: hosts that claim the same epoch share the producer's name, so the log took the append of one for a
// repeat of the other's and answered that it is stored.
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
