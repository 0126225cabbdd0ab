#pragma once

#include "cell/keyed_log.h"
#include "core/time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::runtime {

/// The outcome of a write to the log.
enum class write_outcome : std::uint8_t {
    stored,
    refused, ///< The entries are not in the log and never will be.
    /// As refused, because another host has claimed leadership or another writer has used the epoch.
    fenced,
    unknown, ///< The entries may or may not be stored; only record_store reports this.
    /// The log has rejected an entry, and would reject it again. The other entries of the write are stored.
    rejected,
};

/// @return a number that another host draws with negligible probability, exactly representable in JSON.
[[nodiscard]] core::sequence_number random_first_sequence();

struct log_writer_options {
    std::string producer; ///< The producer's name, by which the log recognises repeated appends.
    cell::keyed_log log;
    core::milliseconds append_timeout{600}; ///< An append is sent again after this time without an answer.
    core::milliseconds retry_interval{60};
    /// A write is refused after the log has refused its append for this long, provided that no attempt may
    /// have been stored.
    core::milliseconds refusal_timeout{400};
    /// Size of one append, as the log counts it; the log's own limit if that is lower. A slow link has to
    /// carry it within the timeout, because it is repeated unchanged.
    std::size_t max_append_bytes = 262'144;
    std::size_t max_queued = 5000; ///< Writes; further ones are refused at once.
    /// Returns the sequence number of the first append of an epoch. Hosts that claim the same epoch under one
    /// producer name need different numbers, or the log takes the append of one for a repeat of another's.
    std::function<core::sequence_number()> first_sequence = random_first_sequence;
};

/// Appends the entries of one producer in order, several writes per call, and reports the outcome of each.
///
/// One append is in flight at a time. An append without an answer is repeated unchanged until its outcome is
/// known; the log recognises a repeat by its sequence number. If the log rejects an append, its entries are
/// appended in smaller groups, so that an entry that cannot be stored delays no others. Owned by
/// host_process. Has one thread; any thread may call write().
class log_writer {
public:
    using write_callback = std::function<void(write_outcome)>;

    explicit log_writer(log_writer_options options);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// Queues entries. They are stored together or not at all if one append can hold them; otherwise in order
    /// by several appends, so that a write that is not reported as stored may have stored the first of them.
    /// @param epoch the producer's epoch, which the log uses as fencing token.
    /// @param items the entries.
    /// @param done called with the outcome on the writer's thread; at once on the caller's thread, as
    /// refused, if the queue is full. Not called if the writer is destroyed first.
    void write(core::epoch_id epoch, std::vector<cell::keyed_record> items, write_callback done);

private:
    struct queued_write {
        core::epoch_id epoch;
        std::vector<cell::keyed_record> items;
        write_callback done;
    };

    using entries = std::span<const cell::keyed_record>;

    void run(const std::stop_token& stop);
    /// @return writes of one epoch that one append can hold, or a single one; empty when stopping.
    std::vector<queued_write> take_batch(const std::stop_token& stop);
    [[nodiscard]] std::size_t max_append_bytes() const;
    [[nodiscard]] std::size_t bytes_of(entries items) const;
    /// @return how many of the first entries one append can hold; at least one unless there are none.
    [[nodiscard]] std::size_t count_for_one_append(entries items) const;
    /// Stores writes of one epoch.
    /// @return the outcome of each.
    std::vector<write_outcome> store(const std::vector<queued_write>& batch, const std::stop_token& stop);
    /// Stores entries by as many appends as they need.
    write_outcome store_entries(entries items, const std::stop_token& stop);
    /// Stores entries that one append can hold; if the log rejects them, each half by itself.
    write_outcome store_or_halve(entries items, const std::stop_token& stop);
    /// Makes one append, repeated until its outcome is known.
    write_outcome append(const std::vector<cell::keyed_record>& items, const std::stop_token& stop);
    void wait_before_retry(const std::stop_token& stop);

    log_writer_options options;
    std::mutex mutex;
    std::condition_variable_any changed;
    std::deque<queued_write> queue;
    core::epoch_id epoch; ///< The epoch of the last append.
    core::sequence_number sequence;
    std::jthread thread;
};

} // namespace rattanmount::runtime
