#pragma once

#include "core/time.h"
#include "dispatch/dispatch_state.h"
#include "workflow/records.h"

#include <cstddef>
#include <optional>
#include <set>

namespace rattanmount::dispatch {

/// Maintains the roster: the log's list of the workers that may have runs which the log does not know of.
///
/// A worker gets its first start only once it is in the roster, so that the next leader knows which workers
/// it has to wait for. A worker leaves it when it is gone, or when it drains and all of its runs are in the
/// log.
///
/// It also names the workers that this leader has not reached, once no former leader can grant leases any
/// more. Such a worker gets no lease before a roster without that mark is in the log, so that the next leader
/// can count the wait for it from the first of several rosters that name it.
///
/// It names the incarnations of the workers as well. A worker that has restarted may hold a longer lease than
/// this leader grants; it gets no start before the log says so, and the next leader waits for that lease.
/// Owned by the dispatcher; used by the control thread only.
class worker_roster {
public:
    explicit worker_roster(dispatch_state& state) : state(state) {}

    /// Called when this host becomes the leader.
    /// @param roster the roster in the log.
    /// @param incarnations the incarnations that it names.
    /// @param now the current time.
    void begin(const std::set<core::worker_id>& roster,
               const std::map<core::worker_id, worker_incarnation_id>& incarnations, core::steady_time now);

    /// Called when a worker appears for the first time, or again after it was forgotten.
    void add(worker_state& worker, core::steady_time now);

    /// @param now the current time.
    /// @return the roster to record if it differs from the one in the log; no further one until recorded() is
    /// called.
    [[nodiscard]] std::optional<workflow::roster_record> take_record(core::steady_time now);

    /// Called when a roster is in the log.
    void recorded(const workflow::roster_record& record);

    /// A worker that is missing from the platform's list may still run tasks or list their ends, because its
    /// entry can expire while it lives: only its complete inventory or the expiry of its lease settles it.
    /// @param now the current time.
    /// @return whether each worker of the roster in the log at begin() is settled, as
    /// dispatch_state::is_settled() defines. If that roster was empty, whether the platform's list counts as
    /// complete and that holds for each worker in it.
    [[nodiscard]] bool inherited_workers_settled(core::steady_time now);

private:
    void settle_inherited_workers(core::steady_time now);
    /// Marks the workers that the next record leaves out, so that they get no runs before one has them again.
    /// @return the number of workers that the next record has.
    std::size_t update_membership();
    [[nodiscard]] workflow::roster_record make_record(core::steady_time now) const;
    /// @return the unsettled workers that have not answered, and that only fenced leaders could reach.
    [[nodiscard]] std::set<core::worker_id> find_unreached(core::steady_time now) const;
    /// Finds out whether a worker that has appeared has restarted since a roster named it.
    void compare_incarnation(worker_state& worker, core::steady_time now);
    /// @return the incarnation that the next record names; the one of the last record for a worker whose
    /// present one has not answered.
    [[nodiscard]] std::optional<worker_incarnation_id> find_incarnation(const core::worker_id& id) const;
    /// @return whether a worker may hold a lease that was meant for an earlier incarnation.
    [[nodiscard]] bool may_hold_foreign_lease(const core::worker_id& id, core::steady_time now) const;
    /// @return whether a worker has answered after a restart that the log does not have.
    [[nodiscard]] bool restart_to_record() const;
    /// @return whether the log names a worker as restarted that holds no lease from before any more.
    [[nodiscard]] bool foreign_lease_ended(core::steady_time now) const;
    /// Marks the workers in `recorded_unreached`, so that they get no leases.
    void apply_unreached();
    /// @return whether the unreached workers have changed so that they are to be recorded.
    [[nodiscard]] bool unreached_changed(core::steady_time now) const;

    dispatch_state& state;
    bool record_in_flight = false; ///< Whether a record is being written to the log.
    std::set<core::worker_id>
        recorded_workers;          ///< Workers that the log's roster has, also if a record is in flight.
    bool inherited_roster = false; ///< Whether the log had a roster at begin().
    /// Workers of the roster in the log at begin() that have not been settled since.
    std::set<core::worker_id> unsettled_workers;
    /// Workers that a roster of this epoch names as unreached, whether it is stored or being stored.
    std::set<core::worker_id> recorded_unreached;
    /// Incarnations that the last roster which named a worker gave for it.
    std::map<core::worker_id, worker_incarnation_id> named_incarnations;
    /// Workers that the last roster of this epoch names as restarted.
    std::set<core::worker_id> recorded_restarted;
    core::steady_time record_taken_at; ///< When the last record was returned by take_record().
};

} // namespace rattanmount::dispatch
