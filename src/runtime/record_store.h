#pragma once

#include "cell/keyed_log.h"
#include "core/time.h"
#include "runtime/log_writer.h"
#include "runtime/peer_directory.h"

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace rattanmount::runtime {

struct record_store_options {
    /// Appends to the log from this host; returns at once.
    std::function<void(std::vector<cell::keyed_record>, log_writer::write_callback)> append_locally;
    /// Called on any thread with records that are known to be stored, before the callback of store() is
    /// called.
    std::function<void(const std::vector<cell::keyed_record>&)> on_stored;
    /// Runs blocking work on a traffic thread.
    std::function<void(std::function<void()>)> run_blocking;
    core::milliseconds leader_timeout{900};  ///< Timeout of a call to the leader.
    core::milliseconds leader_backoff{2000}; ///< Time without calls to a leader that failed to store.
};

/// Stores records that any host may append, through the leader if it can be reached.
///
/// The log processes the appends of a stream one after the other. Small appends of many hosts therefore delay
/// each other, and the more so the slower the log is. The leader combines the records of all hosts into one
/// append. If the leader fails, this host appends them itself; records are idempotent, so one that is stored
/// twice has no further effect. Owned by host_process; any thread may call it.
class record_store {
public:
    explicit record_store(record_store_options options) : options(std::move(options)) {}

    /// Sets the leader and ends any back-off.
    /// @param leader the leader; empty if there is none or it is this host.
    void set_leader(std::optional<peer_directory::peer> leader);

    /// Stores records.
    /// @param items the records, which are stored together or not at all.
    /// @param done called with the outcome, on any thread.
    void store(std::vector<cell::keyed_record> items, log_writer::write_callback done);

    /// Stores records on behalf of another host; blocks.
    /// @param items the records.
    /// @param limit how long to wait.
    /// @return true if the records are stored; false if they are not and never will be.
    /// @throws core::outcome_unknown if the outcome is not known in time.
    [[nodiscard]] bool store_for_peer(std::vector<cell::keyed_record> items, core::milliseconds limit);

private:
    void store_through_leader(const peer_directory::peer& leader, std::vector<cell::keyed_record> items,
                              log_writer::write_callback done);
    /// Calls the leader to store records; blocks.
    /// @return the outcome; empty if the leader has certainly not stored the records.
    [[nodiscard]] std::optional<write_outcome> ask_leader(const peer_directory::peer& leader,
                                                          const std::vector<cell::keyed_record>& items);
    void back_off_leader();
    /// Appends from this host and calls on_stored if that succeeds.
    void append_and_report(std::vector<cell::keyed_record> items, log_writer::write_callback done);

    record_store_options options;
    std::mutex mutex;
    std::optional<peer_directory::peer> leader; ///< Guarded by mutex, as is leader_retry_at.
    core::steady_time leader_retry_at;
};

} // namespace rattanmount::runtime
