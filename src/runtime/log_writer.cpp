#include "runtime/log_writer.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <random>
#include <utility>

namespace rattanmount::runtime {

namespace {

/// Passes the outcome of a write to its callback; logs an exception from the callback.
void report(const log_writer::write_callback& done, write_outcome outcome) {
    try {
        done(outcome);
    } catch (const std::exception& error) {
        telemetry::log_state("outcome of an append could not be handled", {{"reason", error.what()}},
                             telemetry::log_level::error);
    }
}

} // namespace

core::sequence_number random_first_sequence() {
    constexpr std::uint64_t largest = (std::uint64_t{1} << 48U) - 1;
    std::random_device source;
    return core::sequence_number{std::uniform_int_distribution<std::uint64_t>{0, largest}(source)};
}

log_writer::log_writer(log_writer_options options)
    : options(std::move(options)), thread([this](const std::stop_token& stop) { this->run(stop); }) {}

log_writer::~log_writer() {
    this->thread.request_stop();
    this->changed.notify_all();
}

void log_writer::write(core::epoch_id epoch, std::vector<cell::keyed_record> items, write_callback done) {
    {
        const std::lock_guard guard{this->mutex};
        if (this->queue.size() < this->options.max_queued) {
            this->queue.push_back({.epoch = epoch, .items = std::move(items), .done = std::move(done)});
            this->changed.notify_all();
            return;
        }
    }
    done(write_outcome::refused);
}

void log_writer::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        const auto batch = this->take_batch(stop);
        if (batch.empty()) {
            continue;
        }
        const auto outcomes = this->store(batch, stop);
        for (std::size_t i = 0; i < batch.size(); i++) {
            if (stop.stop_requested() && outcomes[i] != write_outcome::stored) {
                return; // The outcome of the last append is unknown, so the callbacks are not called.
            }
            report(batch[i].done, outcomes[i]);
        }
    }
}

std::vector<log_writer::queued_write> log_writer::take_batch(const std::stop_token& stop) {
    std::unique_lock lock{this->mutex};
    if (!this->changed.wait(lock, stop, [this] { return !this->queue.empty(); })) {
        return {};
    }
    std::vector<queued_write> batch;
    std::size_t bytes = 0;
    while (!this->queue.empty()) {
        auto& next = this->queue.front();
        bytes += this->bytes_of(next.items);
        if (!batch.empty() && (bytes > this->max_append_bytes() || batch.front().epoch != next.epoch)) {
            break;
        }
        batch.push_back(std::move(next));
        this->queue.pop_front();
    }
    return batch;
}

std::size_t log_writer::max_append_bytes() const {
    return std::min(this->options.max_append_bytes, this->options.log.limits.max_request_bytes);
}

std::size_t log_writer::bytes_of(entries items) const {
    auto bytes = items.size() * this->options.log.limits.bytes_per_record;
    for (const auto& item : items) {
        bytes += item.bytes();
    }
    return bytes;
}

std::size_t log_writer::count_for_one_append(entries items) const {
    std::size_t count = 0;
    std::size_t bytes = 0;
    for (const auto& item : items) {
        bytes += this->bytes_of({&item, 1});
        if (count > 0 && bytes > this->max_append_bytes()) {
            break;
        }
        count++;
    }
    return count;
}

std::vector<write_outcome> log_writer::store(const std::vector<queued_write>& batch,
                                             const std::stop_token& stop) {
    if (batch.front().epoch != this->epoch) {
        this->epoch = batch.front().epoch;
        this->sequence = this->options.first_sequence();
    }
    if (batch.size() == 1) {
        return {this->store_entries(batch.front().items, stop)};
    }
    std::vector<cell::keyed_record> items;
    for (const auto& queued : batch) {
        items.insert(items.end(), queued.items.begin(), queued.items.end());
    }
    const auto outcome = this->append(items, stop);
    if (outcome != write_outcome::rejected) {
        return std::vector<write_outcome>(batch.size(), outcome);
    }
    std::vector<write_outcome> outcomes;
    outcomes.reserve(batch.size());
    for (const auto& queued : batch) {
        outcomes.push_back(this->store_entries(queued.items, stop));
    }
    return outcomes;
}

write_outcome log_writer::store_entries(entries items, const std::stop_token& stop) {
    bool rejected = false;
    do {
        const auto count = this->count_for_one_append(items);
        const auto outcome = this->store_or_halve(items.first(count), stop);
        if (outcome != write_outcome::stored && outcome != write_outcome::rejected) {
            return outcome;
        }
        rejected = rejected || outcome == write_outcome::rejected;
        items = items.subspan(count);
    } while (!items.empty());
    return rejected ? write_outcome::rejected : write_outcome::stored;
}

write_outcome log_writer::store_or_halve(entries items, const std::stop_token& stop) {
    const auto outcome = this->append({items.begin(), items.end()}, stop);
    if (outcome != write_outcome::rejected || items.size() <= 1) {
        return outcome;
    }
    const auto half = items.size() / 2;
    const auto first = this->store_or_halve(items.first(half), stop);
    if (first != write_outcome::stored && first != write_outcome::rejected) {
        return first;
    }
    const auto second = this->store_or_halve(items.subspan(half), stop);
    return second == write_outcome::stored ? first : second;
}

write_outcome log_writer::append(const std::vector<cell::keyed_record>& items, const std::stop_token& stop) {
    const auto started_at = std::chrono::steady_clock::now();
    bool may_be_stored = false;
    while (true) {
        const auto answer = this->options.log.append(
            items, {.producer = this->options.producer, .epoch = this->epoch, .sequence = this->sequence},
            this->options.append_timeout);
        switch (answer.status) {
        case cell::log_status::done:
            this->sequence = this->sequence.next();
            return write_outcome::stored;
        case cell::log_status::fenced:
            return write_outcome::fenced;
        case cell::log_status::out_of_sequence:
            // The sequence can differ only if another writer has used this epoch.
            telemetry::log_state("append refused because its sequence number is out of order",
                                 {{"producer", this->options.producer},
                                  {"sequence", std::to_string(this->sequence.value())},
                                  {"expected", std::to_string(answer.expected.value())}},
                                 telemetry::log_level::warning);
            return write_outcome::fenced;
        case cell::log_status::refused:
        case cell::log_status::expired:
            if (!may_be_stored &&
                std::chrono::steady_clock::now() > started_at + this->options.refusal_timeout) {
                return write_outcome::refused;
            }
            break;
        case cell::log_status::rejected:
            // An earlier attempt without an answer had the same entries, so it was rejected too.
            return write_outcome::rejected;
        case cell::log_status::unknown:
            may_be_stored = true;
            break;
        }
        if (stop.stop_requested()) {
            return write_outcome::refused;
        }
        this->wait_before_retry(stop);
    }
}

void log_writer::wait_before_retry(const std::stop_token& stop) {
    std::unique_lock lock{this->mutex};
    this->changed.wait_for(lock, stop, this->options.retry_interval, [] { return false; });
}

} // namespace rattanmount::runtime
