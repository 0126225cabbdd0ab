#pragma once

#include "control/host_hooks.h"
#include "core/time.h"
#include "ledger/stream_session.h"

namespace rattanmount::control {

/// Makes the log calls that a stream session asks for, and adds a snapshot to its stream at regular times.
///
/// Owned by the object that owns the session; used by the control thread only.
class stream_driver {
public:
    /// @param session the session to serve; must outlive this object, and must not call back after that.
    /// @param hooks make the calls; must outlive this object.
    /// @param snapshot_interval time between two snapshots; must be well below the log's retention.
    stream_driver(ledger::stream_session& session, const host_hooks& hooks,
                  core::milliseconds snapshot_interval);
    ~stream_driver() = default;
    stream_driver(const stream_driver&) = delete;
    stream_driver& operator=(const stream_driver&) = delete;

    /// Sends the append and the read that are due. While the log is not available, the cancellable records of
    /// the queue are cancelled.
    void send_requests(core::steady_time now);

    /// Plans the first snapshot, after half of the interval.
    void plan_snapshots(core::steady_time now);

    /// @return whether a snapshot is due.
    [[nodiscard]] bool snapshot_due(core::steady_time now) const { return now >= this->next_snapshot; }

    /// Adds a snapshot to the stream. The next one is due after the interval, or soon if the log does not
    /// record this one.
    void take_snapshot(core::steady_time now);

private:
    ledger::stream_session& session;
    const host_hooks& hooks;
    core::milliseconds snapshot_interval;
    core::steady_time next_snapshot{};
};

} // namespace rattanmount::control
