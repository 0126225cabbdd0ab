#pragma once

#include "core/time.h"
#include "dispatch/worker_state.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace rattanmount::dispatch {

/// Durations that bound what a leader may do after it has lost its authority.
struct authority_options {
    /// How long a proof that this host leads counts, from the moment at which it was asked for.
    core::milliseconds proof_lifetime{1500};
    /// How long this host leads without any proof by the log.
    core::milliseconds longest_log_outage{9000};
    core::milliseconds lease_term{4000};       ///< Longest lease that a leader grants, on the worker's clock.
    core::milliseconds max_lease_term{10000};  ///< The worker shortens longer leases to this, on its clock.
    core::milliseconds max_stop_duration{200}; ///< Longest time that a worker takes to stop a run.
    core::milliseconds expiry_margin{300}; ///< Added to the expiry of a lease before its runs count as ended.
};

/// Determines until when this host may extend leases as the leader, and when all leases that a former leader
/// may have extended have certainly expired.
///
/// The log proves that this host leads. While the log does not answer, answers of more than half of the
/// workers prove it: a successor that has reached six tenths of them has raised their fencing tokens, so that
/// they refuse the former leader; whether an answer listed all ends does not matter for that. Both hosts use
/// the same durations and count the workers of the roster, which both know from the log. Part of
/// dispatch_state; used by the control thread only.
class leader_authority {
public:
    explicit leader_authority(authority_options options);

    /// Called when this host starts to lead.
    /// @param roster the workers that the log names as those on which a former leader may have started runs.
    /// @param now the current time.
    /// @param unreached those of them that the former leader has not reached, each with a time since which
    /// none but a fenced leader has granted a lease there.
    /// @param restarted those of them that may hold a lease that was meant for an earlier incarnation, each
    /// with a time since which none has been granted.
    void begin(std::set<core::worker_id> roster, core::steady_time now,
               std::map<core::worker_id, core::steady_time> unreached = {},
               std::map<core::worker_id, core::steady_time> restarted = {});

    /// Called when the log has proved that this host leads.
    /// @param asked_at when the proof was asked for.
    void confirm_by_log(core::steady_time asked_at);

    /// Counts the answers of the workers.
    /// @param workers the known workers.
    /// @param now the current time.
    void count_answers(const std::map<core::worker_id, worker_state>& workers, core::steady_time now);

    /// @param now the current time.
    /// @return whether this host may start runs and extend leases.
    [[nodiscard]] bool is_proven(core::steady_time now) const;

    /// @param now the current time.
    /// @return whether the log has given no proof for so long that it is probably unavailable.
    [[nodiscard]] bool suspects_log_outage(core::steady_time now) const;

    /// @return the time after which no run under a lease of a former leader is left, except on workers that
    /// have restarted.
    [[nodiscard]] core::steady_time inherited_leases_expire_at() const;

    /// @return the time after which no run is left on a worker whose restart the former leader has not
    /// recorded: orders of that leader for the earlier incarnation may have given it leases of the longest
    /// term.
    [[nodiscard]] core::steady_time foreign_leases_expire_at() const;

    /// @param worker a worker.
    /// @return the time after which no run is left under a lease that was meant for an earlier incarnation
    /// and that was granted before the former leader recorded the restart; the earliest time if it has
    /// recorded none.
    [[nodiscard]] core::steady_time recorded_foreign_lease_expires_at(const core::worker_id& worker) const;

    /// @param worker a worker that has not answered this host since it leads.
    /// @return the time after which no run under a lease of a former leader is left on it.
    [[nodiscard]] core::steady_time inherited_leases_expire_at(const core::worker_id& worker) const;

    /// @return whether no former leader can prove any more, by new answers, that it leads.
    [[nodiscard]] bool predecessor_is_fenced() const { return this->predecessor_fenced_at.has_value(); }

    /// @param worker a worker.
    /// @return whether the former leader has recorded that it has not reached it.
    [[nodiscard]] bool was_unreached(const core::worker_id& worker) const {
        return this->inherited_unreached.contains(worker);
    }

private:
    /// @param term the term of a lease, on the worker's clock.
    /// @return the longest time for which a lease of that term, granted now, keeps runs running.
    [[nodiscard]] core::milliseconds longest_run(core::milliseconds term) const;
    /// @param term the longest term of the leases of a former leader.
    /// @return the time after which no run is left under them.
    [[nodiscard]] core::steady_time expire_at(core::milliseconds term) const;
    [[nodiscard]] bool
    knows_token_at_most_workers(const std::map<core::worker_id, worker_state>& workers) const;

    authority_options options;
    std::set<core::worker_id> inherited_roster;
    /// Workers that the former leader has not reached, and since when it is known that none but a fenced
    /// leader grants leases there.
    std::map<core::worker_id, core::steady_time> inherited_unreached;
    /// Workers of which the former leader has recorded a restart, and when that was known.
    std::map<core::worker_id, core::steady_time> inherited_restarted;
    core::steady_time leading_since;
    core::steady_time confirmed_by_log_at;
    /// The latest time since which more than half of the workers have answered a hold.
    core::steady_time confirmed_by_workers_at;
    /// When enough workers had answered under the fencing token of this host.
    std::optional<core::steady_time> predecessor_fenced_at;
    core::steady_time counted_at;
};

} // namespace rattanmount::dispatch
