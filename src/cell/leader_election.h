#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "workflow/records.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace rattanmount::cell {

/// What a leader_election is made of.
struct leader_election_options {
    core::host_id host;
    core::incarnation_id self;                  ///< The life of the host.
    core::milliseconds heartbeat_interval{250}; ///< Between two signs of life of the leader in the log.
    core::milliseconds suspect_after{1000};     ///< Silence of the leader after which its lead is claimed.
    core::milliseconds claim_spread{150};       ///< Claims of several hosts are spread over this time.
    core::milliseconds claim_retry{1000};       ///< After which a claim that had no effect is made again.
    core::milliseconds read_gap{1500}; ///< Without answered reads; the leader is then given new time.
    core::milliseconds heir_delay{60}; ///< A leader whose process has surely ended is followed after this.
    /// How much longer a host waits with a claim that others are better fitted to make.
    core::milliseconds outranked_delay{400};
    /// A leader that is outranked is replaced once it has led for so long.
    core::milliseconds outrank_after{3000};
    /// Gives a number from 0 up to, but without, 1.
    std::function<double()> random;
};

/// How a host stands among those that could lead, by what it may use of a processor.
enum class claim_standing : std::uint8_t {
    equal,           ///< As good as any.
    outranked,       ///< There are hosts that are fitter by far.
    outranks_leader, ///< This host is fitter by far than the one that leads.
};

/// Decides when this host claims the lead of the cell, and whether it holds it.
///
/// The log decides who leads: a claim names an epoch, the log refuses all appends under lower ones, and the
/// first claim of an epoch wins. This class reads the signs of life of the leader and proposes claims.
/// The control thread owns it.
class leader_election {
public:
    explicit leader_election(leader_election_options options);

    /// Takes a record on the lead, in the order of the log.
    void on_record(const workflow::leader_record& record, core::steady_time now);

    /// A host of the cell was read to live, in the order of the log.
    /// @param host the host.
    /// @param incarnation its life. Where the leader led in an earlier one, its process has ended.
    void on_member(const core::host_id& host, const core::incarnation_id& incarnation);

    /// The log has answered a read that gave everything up to its end.
    void on_caught_up(core::steady_time now);

    /// The log refused an append since another host claimed a later epoch, or a worker refused an order for
    /// the same reason.
    void on_fenced(core::steady_time now);

    /// @param now the time.
    /// @param standing of this host.
    /// @return the claim to append, where it is time for one.
    [[nodiscard]] std::optional<workflow::leader_record>
    claim(core::steady_time now, claim_standing standing = claim_standing::equal);

    /// @param now the time.
    /// @return the sign of life to append, where this host leads and it is time for one.
    [[nodiscard]] std::optional<workflow::leader_record> heartbeat(core::steady_time now);

    /// @return the record that gives up the lead, where this host leads.
    [[nodiscard]] std::optional<workflow::leader_record> resign();

    /// Gives up the lead for now; this host may claim it again later.
    /// @return the record that tells so, where this host leads.
    [[nodiscard]] std::optional<workflow::leader_record> step_down();

    /// @param value whether this host may claim the lead; it keeps one that it has.
    void set_eligible(bool value) { this->eligible = value; }

    /// Something was appended under the epoch of this host, which is a sign of life too.
    void on_appended(core::steady_time now);

    /// Any record of the leader was read, which is a sign of its life.
    void on_leader_active(core::steady_time now);

    /// @return whether this host leads.
    [[nodiscard]] bool leads() const { return this->leading; }

    /// @return the epoch that is in force.
    [[nodiscard]] core::epoch_id epoch() const { return this->last.epoch; }

    /// @return the last record on the lead.
    [[nodiscard]] const workflow::leader_record& record() const { return this->last; }

private:
    void draw_spread();
    [[nodiscard]] bool may_replace(core::steady_time now, claim_standing standing) const;
    [[nodiscard]] bool suspects(core::steady_time now, claim_standing standing) const;

    leader_election_options options;
    workflow::leader_record last;
    bool leading = false;
    bool resigning = false;
    bool eligible = true;
    bool leader_gone = false;                 ///< Its process has surely ended.
    core::epoch_id fenced_epoch;              ///< The highest epoch that this host has lost.
    std::optional<core::steady_time> sign_at; ///< Of the last sign of life; empty before the first look.
    std::optional<core::steady_time> caught_up_at;
    std::optional<core::steady_time> epoch_seen_at; ///< When the first record of the epoch was read.
    core::steady_time appended_at;
    std::optional<core::steady_time> claimed_at;
    core::milliseconds spread{0};
};

} // namespace rattanmount::cell
