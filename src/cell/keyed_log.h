#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace rattanmount::cell {

/// A record of a compacted stream: the log retains the newest value of each key.
struct keyed_record {
    std::string key;
    std::string value; ///< Empty: deletes the key.

    /// @return the size of the key and the value together.
    [[nodiscard]] std::size_t bytes() const { return this->key.size() + this->value.size(); }
};

/// One entry of a keyed stream of the platform's log.
struct log_item {
    core::log_offset offset;
    keyed_record record; ///< An empty value means that the key was deleted.
};

/// The result of a call to the log.
enum class log_status : std::uint8_t {
    done,
    refused,         ///< Nothing was done; the call may be retried.
    fenced,          ///< The epoch of the append is no longer in force.
    out_of_sequence, ///< The sequence number is not the expected one.
    expired,         ///< The requested entries are no longer retained.
    unknown,         ///< No answer: an append may have been stored, or may still be stored later.
    rejected,        ///< The call is invalid: nothing was done, and no repeat of it will succeed.
};

/// @return the name of a status, for log lines.
[[nodiscard]] constexpr const char* to_string(log_status status) {
    switch (status) {
    case log_status::done:
        return "done";
    case log_status::refused:
        return "refused";
    case log_status::fenced:
        return "fenced";
    case log_status::out_of_sequence:
        return "out_of_sequence";
    case log_status::expired:
        return "expired";
    case log_status::unknown:
        return "unknown";
    case log_status::rejected:
        break;
    }
    return "rejected";
}

/// What one append to a log may hold. Without a stated limit, any size is stored.
struct log_limits {
    /// Of the key and the value of one record together.
    std::size_t max_record_bytes = std::numeric_limits<std::size_t>::max();
    /// Of all records of one append, with `bytes_per_record` added for each of them.
    std::size_t max_request_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t bytes_per_record = 0; ///< What the log adds to the key and the value of each record.
};

/// Identifies an append. The log treats a repeated sequence number of a producer as the same append.
struct producer_stamp {
    std::string producer;
    core::epoch_id epoch;
    core::sequence_number sequence;
};

/// A read of consecutive entries.
struct log_read_request {
    static constexpr std::size_t default_max_bytes = 1'048'576;

    core::log_offset from;
    core::milliseconds wait{0}; ///< How long the log may hold the read open until an entry arrives.
    /// The log returns no more entries than fit, but may return a single longer one.
    std::size_t max_bytes = default_max_bytes;
};

struct log_append_answer {
    log_status status = log_status::unknown;
    core::sequence_number expected; ///< For out_of_sequence: the sequence number that would be accepted.
};

struct log_read_answer {
    log_status status = log_status::unknown;
    std::vector<log_item> items;
    core::log_offset next; ///< The offset to continue reading from.
    bool at_end = false;   ///< The end of the stream was reached.
};

struct log_newest_answer {
    log_status status = log_status::unknown;
    std::vector<log_item> items; ///< The newest entry of each key.
    core::log_offset next;       ///< Reading on from here misses no entry.
};

/// Access to one keyed stream. Each call blocks for up to `limit`; any traffic thread may call.
struct keyed_log {
    std::function<log_append_answer(const std::vector<keyed_record>& items, const producer_stamp& stamp,
                                    core::milliseconds limit)>
        append;
    std::function<log_read_answer(const log_read_request& request, core::milliseconds limit)> read;
    std::function<log_newest_answer(core::milliseconds limit)> newest;
    log_limits limits;
};

} // namespace rattanmount::cell
