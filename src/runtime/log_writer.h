#pragma once

#include "cell/keyed_log.h"
#include "core/time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::runtime {

/// What became of entries that were to be appended.
enum class write_fate : std::uint8_t {
    stored,
    refused, ///< They are not in the log and never will be.
    fenced,  ///< As refused, since another host has taken the lead.
    unknown, ///< They may or may not be stored; told by a record_store alone.
};

struct log_writer_options {
    std::string producer;
    cell::keyed_log log;
    core::milliseconds append_limit{600}; ///< Until an append without an answer is sent again.
    core::milliseconds retry_interval{60};
    /// An append that the log refuses for so long is given up, where no try of it is in doubt.
    core::milliseconds refusal_limit{400};
    std::size_t max_batch_bytes = 1'000'000;
    std::size_t max_waiting = 5000; ///< Entries; more are refused.
};

/// Appends entries of one producer in order, many in one call, and settles the fate of each.
///
/// One append is out at a time. One without an answer is sent again unchanged, which the log recognises by
/// its sequence, until the fate is known. It has one thread; any thread may write().
class log_writer {
public:
    using settled = std::function<void(write_fate)>;

    explicit log_writer(log_writer_options options);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// Queues entries that are stored together or not at all.
    /// @param epoch the producer's epoch.
    /// @param items the entries.
    /// @param done told of the fate by the writer's thread; at once by the caller's where too much waits.
    void write(core::epoch_id epoch, std::vector<cell::keyed_bytes> items, settled done);

private:
    struct entry {
        core::epoch_id epoch;
        std::vector<cell::keyed_bytes> items;
        settled done;
    };

    void run(const std::stop_token& stop);
    std::vector<entry> take_batch(const std::stop_token& stop);
    write_fate append(const std::vector<entry>& batch, const std::stop_token& stop);
    void pause(const std::stop_token& stop);

    log_writer_options options;
    std::mutex mutex;
    std::condition_variable_any changed;
    std::deque<entry> waiting;
    core::epoch_id epoch; ///< Of the last append.
    core::sequence_number sequence;
    std::jthread thread;
};

} // namespace rattanmount::runtime
