#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "workflow/records.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace rattanmount::cell {

/// Configuration of a leader_election.
struct leader_election_options {
    core::host_id host;
    core::incarnation_id self;                  ///< The incarnation of this host.
    core::milliseconds heartbeat_interval{250}; ///< Time between two heartbeats of the leader in the log.
    /// Silence of the leader after which other hosts claim leadership.
    core::milliseconds suspect_after{1000};
    /// Upper bound of the random delay that separates the claims of several hosts.
    core::milliseconds claim_jitter{150};
    core::milliseconds claim_retry{1000}; ///< Time after which a claim without effect is repeated.
    /// If no read was answered for longer than this, the leader's silence is counted from the next answered
    /// read.
    core::milliseconds max_read_gap{1500};
    /// Replaces suspect_after when the leader's process is known to have ended.
    core::milliseconds successor_delay{60};
    /// Additional delay of a claim if other hosts are better candidates, from the moment at which these may
    /// claim.
    core::milliseconds outranked_delay{400};
    /// A leader that is outranked is replaced only after it has led for this long.
    core::milliseconds outrank_after{3000};
    /// Returns a random number in [0, 1).
    std::function<double()> random;
};

/// Compares this host with the other candidates, by the processor share that it may use.
enum class claim_standing : std::uint8_t {
    equal,           ///< No candidate is much better.
    outranked,       ///< Other hosts are much better candidates.
    outranks_leader, ///< This host is a much better candidate than the current leader.
};

/// Decides when this host claims leadership of the cell, and tracks whether it holds it.
///
/// The log arbitrates: a claim names an epoch, the first claim of an epoch wins, and the log refuses all
/// appends under lower epochs. This class follows the leader's heartbeats in the log and proposes claims.
/// Owned by the control thread.
class leader_election {
public:
    explicit leader_election(leader_election_options options);

    /// Processes a leadership record. Called in log order.
    void on_record(const workflow::leader_record& record, core::steady_time now);

    /// Processes a membership record of a live host. Called in log order.
    /// @param incarnation its current incarnation. If it differs from the one that leads, the leader's
    ///        process has ended.
    /// @param now the current time.
    void on_member(const core::host_id& host, const core::incarnation_id& incarnation, core::steady_time now);

    /// Called when a read has returned everything up to the end of the log.
    void on_caught_up(core::steady_time now);

    /// Called when the log refused a leadership record because another host claimed a later epoch, when a
    /// worker refused an order for that reason, or when a write of progress had any outcome but `stored`.
    void on_fenced(core::steady_time now);

    /// @param standing how this host compares with the other candidates.
    /// @return the claim to append now, if any.
    [[nodiscard]] std::optional<workflow::leader_record>
    claim(core::steady_time now, claim_standing standing = claim_standing::equal);

    /// @return the heartbeat to append now, if this host leads and one is due.
    [[nodiscard]] std::optional<workflow::leader_record> heartbeat(core::steady_time now);

    /// Gives up leadership for good, for shutdown.
    /// @return the record to append, if this host leads.
    [[nodiscard]] std::optional<workflow::leader_record> resign();

    /// Gives up leadership; this host may claim it again later.
    /// @return the record to append, if this host leads.
    [[nodiscard]] std::optional<workflow::leader_record> step_down();

    /// @param value whether this host may claim leadership. A leader keeps leading in either case.
    void set_eligible(bool value) { this->eligible = value; }

    /// Called when a batch of progress is handed over to be appended under this host's epoch, before it is
    /// stored; counts as a heartbeat.
    void on_appended(core::steady_time now);

    /// Called when a record of the progress of a job was read; only the leader writes these, so it counts as
    /// a heartbeat.
    void on_leader_active(core::steady_time now);

    [[nodiscard]] bool leads() const { return this->leading; }

    /// @return the epoch in force.
    [[nodiscard]] core::epoch_id epoch() const { return this->last.epoch; }

    /// @return the latest leadership record.
    [[nodiscard]] const workflow::leader_record& record() const { return this->last; }

private:
    void draw_jitter();
    [[nodiscard]] bool may_replace(core::steady_time now, claim_standing standing) const;
    [[nodiscard]] bool suspects(core::steady_time now, claim_standing standing) const;

    leader_election_options options;
    workflow::leader_record last;
    bool leading = false;
    bool resigning = false;
    bool eligible = true;
    /// When it became known that the leader's process has ended, if it has.
    std::optional<core::steady_time> leader_ended_at;
    core::epoch_id fenced_epoch; ///< The highest epoch that this host has lost.
    /// Time of the leader's last heartbeat; empty before the first read.
    std::optional<core::steady_time> leader_seen_at;
    std::optional<core::steady_time> caught_up_at;
    /// When the first record of the current epoch was read.
    std::optional<core::steady_time> epoch_seen_at;
    core::steady_time appended_at;
    std::optional<core::steady_time> claimed_at;
    core::milliseconds jitter{0};
};

} // namespace rattanmount::cell
