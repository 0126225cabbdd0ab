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
    void begin(std::set<core::worker_id> roster, core::steady_time now);

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

    /// @return the time after which no run under a lease of a former leader is left.
    [[nodiscard]] core::steady_time inherited_leases_expire_at() const;

private:
    [[nodiscard]] bool
    knows_token_at_most_workers(const std::map<core::worker_id, worker_state>& workers) const;

    authority_options options;
    std::set<core::worker_id> inherited_roster;
    core::steady_time leading_since;
    core::steady_time confirmed_by_log_at;
    /// The latest time since which more than half of the workers have answered a hold.
    core::steady_time confirmed_by_workers_at;
    /// When enough workers had answered under the fencing token of this host.
    std::optional<core::steady_time> predecessor_fenced_at;
    core::steady_time counted_at;
};

} // namespace rattanmount::dispatch
