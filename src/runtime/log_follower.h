#pragma once

#include "cell/keyed_log.h"
#include "core/time.h"
#include "runtime/read_size.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::runtime {

/// The entries of a stream from one read.
struct log_batch {
    std::vector<cell::log_item> items;
    bool reset = false;         ///< The items are the newest entry of every key; all other keys are gone.
    bool caught_up = false;     ///< The read reached the end of the stream.
    core::steady_time asked_at; ///< When the read was sent.
};

struct log_follower_options {
    std::string name; ///< The stream's name in log lines.
    cell::keyed_log log;
    core::milliseconds wait{700}; ///< How long the log may hold a read open until an entry arrives.
    core::milliseconds read_timeout_margin{700}; ///< Added to the wait to give the timeout of a read.
    /// Timeout of the first read of the newest entries. Each further one gets twice the time of the one
    /// before, up to the longest: the entries may be many and the link slow, but a read that hangs during an
    /// outage must not delay the next one for long.
    core::milliseconds load_timeout{3000};
    core::milliseconds max_load_timeout{3000};
    core::milliseconds retry_interval{150}; ///< Between two reads if the first one failed.
    /// Pause between two reads, so that many small entries cost fewer calls.
    core::milliseconds read_interval{0};
    bool enabled = true; ///< Whether to follow the stream from the start.
    std::function<core::steady_time()> now = [] { return std::chrono::steady_clock::now(); };
    /// Called on the follower's thread with each batch, in order. An exception from it is logged.
    std::function<void(log_batch)> sink;
};

/// Follows a keyed stream: reads the newest entry of each key first, then every new entry.
///
/// Starts over with the newest entries if the entries at its position have expired. Has one thread, which
/// blocks in reads. Owned by host_process; construct and destroy it on one thread. Any thread may call
/// set_enabled(), set_read_interval() and position().
class log_follower {
public:
    explicit log_follower(log_follower_options options);
    ~log_follower();
    log_follower(const log_follower&) = delete;
    log_follower& operator=(const log_follower&) = delete;

    /// @param value the pause between two reads from now on.
    void set_read_interval(core::milliseconds value);

    /// Enables or disables following; starts over with the newest entries when it is enabled again.
    void set_enabled(bool value);

    /// @return the offset up to which the entries have been delivered; empty before the newest entries have
    /// been read.
    [[nodiscard]] std::optional<core::log_offset> position();

private:
    void run(const std::stop_token& stop);
    bool try_read();
    bool load_newest();
    bool read_next();
    void deliver(const log_batch& batch) const;
    void move_to(core::log_offset offset);
    void start_over();
    void set_reachable(bool reachable);
    core::milliseconds delay_after_read(bool answered);
    bool wait_until_enabled(const std::stop_token& stop);

    log_follower_options options;
    std::mutex mutex;
    std::condition_variable_any changed;
    bool enabled;
    bool reachable = true;
    bool caught_up = false;               ///< The last read reached the end of the stream.
    core::milliseconds next_load_timeout; ///< Of the next read of the newest entries.
    read_size size;                       ///< Of the next read of consecutive entries.
    /// The offset to continue reading from; empty until the newest entries have been read. Written by the
    /// follower's thread only; guarded by the mutex for other threads.
    std::optional<core::log_offset> next;
    std::jthread thread;
};

} // namespace rattanmount::runtime
