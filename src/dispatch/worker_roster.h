#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "workflow/records.h"

#include <optional>
#include <set>

namespace rattanmount::dispatch {

/// Keeps the log's list of the workers on which tasks may have been started.
///
/// A worker gets its first start only once it is in that list, so that a successor knows whether one is
/// missing from the platform's list. Owned by the dispatcher; the control thread only.
class worker_roster {
public:
    explicit worker_roster(dispatch_state& state) : state(state) {}

    /// This host starts to lead.
    /// @param roster as the log has it.
    void begin(const std::set<core::worker_id>& roster);

    /// A worker was met for the first time.
    void add(worker_state& worker) const;

    /// @param now the time.
    /// @return the workers to record, where the log has others; one record is out at a time.
    [[nodiscard]] std::optional<workflow::roster_record> take_record(core::steady_time now);

    /// A roster is in the log.
    void recorded(const workflow::roster_record& record);

    /// @param now the time.
    /// @return whether no worker that a former leader may have used is missing from the platform's list, or
    /// those that are missing are to be taken as gone.
    [[nodiscard]] bool list_complete(core::steady_time now) const;

private:
    dispatch_state& state;
    bool record_in_flight = false; ///< A record is on its way to the log.
    std::set<core::worker_id> recorded_workers;
    std::set<core::worker_id> inherited_workers; ///< As the log had it at begin().
    core::steady_time record_taken_at;           ///< When the last record was given.
};

} // namespace rattanmount::dispatch
