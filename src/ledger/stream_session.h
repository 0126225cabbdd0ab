#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "external/log_service.h"
#include "ledger/records.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::ledger {

/// The final outcome of writing a record.
enum class record_outcome : std::uint8_t {
    recorded,   ///< It is in the log and was applied, even if the state machine ignored it as invalid.
    superseded, ///< It is in the log but was not applied, for example because of a newer epoch or claim.
    absent      ///< It is not in the log and never will be.
};

/// Options for writing a record.
struct add_options {
    bool cancellable = false; ///< May be cancelled as long as it is certainly not in the log.
    bool own_batch = false;   ///< Must be the only record of its batch, such as a claim.
};

/// Settings and hooks of a session.
struct session_options {
    core::incarnation_id producer;
    core::stream_id stream;
    /// Must be higher than all sequence numbers of earlier sessions with this producer and stream.
    core::sequence_number first_sequence{1};
    core::milliseconds append_spacing{100}; ///< Minimum time between two appends, for group commit.
    core::milliseconds read_interval{1000}; ///< Polling interval for entries of other writers.
    core::milliseconds retry_delay{200};    ///< Delay before a failed call is retried.
    std::size_t max_records_per_batch = 500;
    std::size_t max_bytes_per_batch = std::size_t{256} * 1024;
    /// Applies the next entry to the state machine. Returns whether its records are part of the state, from
    /// this entry or from an earlier copy of it.
    std::function<bool(core::log_offset, const record_batch&)> apply;
    /// Clears the state machine before the stream is read again from the oldest offset that the log keeps.
    std::function<void()> reset;
    /// Returns the encoded state of the state machine; needed only if snapshots are added.
    std::function<std::string()> state;
};

/// An append call to make to the log service.
struct append_request {
    core::stream_id stream;
    core::sequence_number sequence;
    std::string bytes;
};

/// A read call to make to the log service.
struct read_request {
    core::stream_id stream;
    core::log_offset from;
};

/// Reads one stream in order, writes to it in batches, and determines the outcome of each written record.
///
/// The session makes no calls itself: add records, make the calls that next_append() and next_read() return,
/// and pass on their replies. At most one append and one read are pending at a time. An append whose outcome
/// is unknown is retried unchanged until a copy of it is read or reported at an offset; the state machine
/// applies at most one copy. The `on_result` callback of each record is called exactly once, as soon as
/// the record's outcome is certain, from within on_append(), on_read() or cancel_queued(). The callback may
/// add records.
///
/// One instance per stream and entry host. Owned by the control thread, which alone may call it. Never
/// blocks.
class stream_session {
public:
    /// @param options settings and hooks; `apply` and `reset` must be set.
    explicit stream_session(session_options options);

    /// Sets the epoch for records that are added from now on.
    /// @param epoch the epoch in which the producer owns the shard.
    void set_epoch(core::epoch_id epoch);

    /// Queues a record. A snapshot always gets a batch of its own. Its state and offset are filled in when
    /// that batch is made, after all records queued before it.
    /// @param on_result called once with the outcome; may be empty.
    void add(record item, add_options options, std::function<void(record_outcome)> on_result);

    /// @return the append to make now; empty if none is due.
    [[nodiscard]] std::optional<append_request> next_append(core::steady_time now);

    /// Called with the reply to an append.
    /// @param sequence the sequence number of the request.
    void on_append(core::sequence_number sequence, const external::append_reply& reply,
                   core::steady_time now);

    /// @return the read to make now; empty if none is due.
    [[nodiscard]] std::optional<read_request> next_read(core::steady_time now);

    /// Called with the reply to a read.
    /// @param from the offset of the request.
    void on_read(core::log_offset from, const external::read_reply& reply, core::steady_time now);

    /// @return whether all entries up to the last reported end of the log are applied and no append has an
    ///         unknown outcome.
    [[nodiscard]] bool caught_up() const;

    /// @return the first offset that has not been applied.
    [[nodiscard]] core::log_offset next() const { return this->next_offset; }

    /// @return whether the last call to the log service succeeded.
    [[nodiscard]] bool log_available() const { return this->available; }

    /// @return the number of records whose outcome is not known yet.
    [[nodiscard]] std::size_t pending() const;

    /// Cancels all cancellable records in the queue. Their outcome is absent: they were never sent, or
    /// certainly not stored.
    void cancel_queued();

    /// @return the latest time at which to call next_append() and next_read() again.
    [[nodiscard]] core::steady_time next_deadline(core::steady_time now) const;

    /// Continues at an offset after the state machine has loaded a peer's state. Ignored if the offset is
    /// not after next(), unless the state machine has no base state. A batch in flight still gets its
    /// outcome.
    /// @param offset the first offset that is not included in the loaded state.
    void skip_to(core::log_offset offset);

    /// Makes a read due at once, or after retry_delay if the last one failed.
    void request_read();

    /// @return the sequence number of the next batch.
    [[nodiscard]] core::sequence_number next_sequence() const { return this->sequence; }

    /// @return the number of entries that could not be decoded and were skipped.
    [[nodiscard]] std::uint64_t malformed_entries() const { return this->malformed; }

    /// @return how often the stream had to be read again because entries expired before they were read.
    [[nodiscard]] std::uint64_t resets() const { return this->reset_count; }

private:
    struct pending_record {
        record item;
        std::size_t bytes = 0;
        core::epoch_id epoch;
        add_options options;
        std::function<void(record_outcome)> on_result;
    };

    /// The batch that is being sent, or was sent and has no outcome yet. There is at most one.
    struct batch_in_flight {
        core::sequence_number sequence;
        std::string bytes;
        std::vector<pending_record> records;
        bool append_pending = false; ///< An append call has no reply yet.
        bool may_be_stored = false;  ///< An earlier call may have stored it, or may still do so.
        std::optional<core::log_offset> stored_at;
    };

    using completion_list = std::vector<std::pair<std::function<void(record_outcome)>, record_outcome>>;

    [[nodiscard]] bool append_ready() const;
    [[nodiscard]] core::steady_time read_due() const;
    void make_batch();
    std::vector<pending_record> take_records();
    void on_stored(core::log_offset offset, completion_list& completions);
    void apply_entry(core::log_offset offset, const std::string& bytes, completion_list& completions);
    void complete_in_flight(record_outcome result, completion_list& completions);
    void requeue_in_flight(completion_list& completions);
    void check_skipped_append();
    void restart_at(core::log_offset first);
    void apply_entries(const external::read_reply& reply, completion_list& completions);
    static void invoke(completion_list& completions);

    session_options options;
    core::epoch_id epoch;
    core::sequence_number sequence;
    std::deque<pending_record> queue;
    std::optional<batch_in_flight> in_flight;
    core::steady_time next_append_at = core::steady_time::min(); ///< Earliest time of the next append.
    core::log_offset next_offset;
    core::log_offset known_end; ///< The last reported end of the stream.
    bool read_pending = false;
    core::log_offset pending_read_from;
    core::steady_time next_read_at =
        core::steady_time::min(); ///< Earliest time of the next read, unless requested.
    core::steady_time retry_read_at = core::steady_time::min();
    bool read_requested = true;
    bool has_read = false;
    bool base_known = true;
    bool available = false;
    std::uint64_t malformed = 0;
    std::uint64_t reset_count = 0;
};

} // namespace rattanmount::ledger
