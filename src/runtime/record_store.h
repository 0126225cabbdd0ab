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
    /// Appends from this host; returns at once.
    std::function<void(std::vector<cell::keyed_bytes>, log_writer::settled)> append_here;
    /// Told of records that are surely in the log, before whoever handed them in is; by any thread.
    std::function<void(const std::vector<cell::keyed_bytes>&)> stored;
    /// Runs work that blocks on a traffic thread.
    std::function<void(std::function<void()>)> run_blocking;
    core::milliseconds leader_limit{900};  ///< For the leader to store.
    core::milliseconds leader_pause{2000}; ///< A leader that failed to store is left alone for so long.
};

/// Stores records that need no lead, through the leader where it can be reached.
///
/// The log takes the appends of a stream one after the other, each in its own time, so that many hosts with
/// small appends hold each other up, the more the slower the log is. The leader puts the records of all
/// hosts into one append. Where it fails, this host appends by itself: a record that is stored twice changes
/// nothing. Owned by the process; any thread may call.
class record_store {
public:
    explicit record_store(record_store_options options) : options(std::move(options)) {}

    /// @param leader the host that leads, where it is another one.
    void set_leader(std::optional<peer_directory::peer> leader);

    /// @param items the records, which are stored together or not at all.
    /// @param done told of their fate, by any thread.
    void store(std::vector<cell::keyed_bytes> items, log_writer::settled done);

    /// Stores for another host; blocks.
    /// @param items the records.
    /// @param limit how long to wait.
    /// @return whether they are stored; else they never will be.
    /// @throws core::fate_unknown where that is not settled in time.
    [[nodiscard]] bool store_for_peer(std::vector<cell::keyed_bytes> items, core::milliseconds limit);

private:
    void store_through(const peer_directory::peer& leader, std::vector<cell::keyed_bytes> items,
                       log_writer::settled done);
    /// @return the fate, or nothing where the leader has certainly not stored them.
    [[nodiscard]] std::optional<write_fate> ask(const peer_directory::peer& leader,
                                                const std::vector<cell::keyed_bytes>& items);
    void pause_leader();
    /// Appends from this host and tells of what is stored.
    void append(std::vector<cell::keyed_bytes> items, log_writer::settled done);

    record_store_options options;
    std::mutex mutex;
    std::optional<peer_directory::peer> leader; ///< Guarded by mutex, as is the next.
    core::steady_time paused_until;
};

} // namespace rattanmount::runtime
