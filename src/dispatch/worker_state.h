#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "dispatch/orders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace rattanmount::dispatch {

/// Estimates the clock of one incarnation of a worker from the readings in its answers.
///
/// A value type.
class worker_clock {
public:
    /// Slowest assumed rate of the worker's clock, relative to the clock of this host.
    static constexpr double slowest_rate = 0.98;

    /// @param term the term of a lease, on the worker's clock.
    /// @return how long it lasts at most on the clock of this host.
    [[nodiscard]] static core::milliseconds longest_local_time(core::milliseconds term) {
        return std::chrono::ceil<core::milliseconds>(term / slowest_rate);
    }

    /// Adds a reading that arrived with an answer.
    /// @param reading the worker's clock at the time of its answer.
    /// @param now when the answer arrived at this host.
    void add_reading(worker_time reading, core::steady_time now);

    /// @return whether there has been a reading.
    [[nodiscard]] bool has_reading() const { return this->taken_at.has_value(); }

    /// @param now the current time.
    /// @return an estimate of what the worker's clock shows now; a lower bound unless that clock is slow.
    [[nodiscard]] worker_time estimate_at(core::steady_time now) const;

    /// @param time a time; a reading may have been added later.
    /// @return the least that the worker's clock showed then, assuming the slowest rate.
    [[nodiscard]] worker_time lowest_at(core::steady_time time) const;

    /// @param time a time on the worker's clock.
    /// @return the latest local time at which the worker's clock reaches it, assuming the slowest rate.
    [[nodiscard]] core::steady_time latest_local_time(worker_time time) const;

private:
    worker_time reading{0};
    std::optional<core::steady_time> taken_at;
};

/// Counts events with exponential decay: the weight of an event halves every few seconds.
///
/// A value type.
class decaying_counter {
public:
    void add(core::steady_time now);

    /// @return the total weight of all events at `now`.
    [[nodiscard]] double value_at(core::steady_time now) const;

private:
    double weight = 0;
    core::steady_time changed_at;
};

/// A reported end of a task that this host does not know: its job may be one that it has not read yet.
struct unknown_end {
    reported_end end;
    core::steady_time reported_at;
};

/// What the answers of one incarnation of a worker have proved to the leader of this epoch.
///
/// A value type; a new incarnation begins without any proof.
struct incarnation_proofs {
    /// It has answered under the present token, so it refuses the orders of a former leader and those that
    /// were meant for an earlier incarnation.
    bool knows_token = false;
    /// All runs and ends that it had when it learned the token have been listed, so that a task that a former
    /// leader started there, and that was not listed, neither runs nor has ended there.
    bool inventory_complete = false;
    /// When the first hold that it has answered under the token was sent.
    core::steady_time knows_token_since;
};

/// State of a worker as the dispatcher knows it.
struct worker_state {
    worker_entry entry;
    bool listed = true; ///< Whether it is in the platform's list.
    /// Whether it has left that list and nothing is left on it, so that it is forgotten once the log's roster
    /// does not name it any more.
    bool has_left = false;
    /// The incarnation that `entry` describes; `entry.incarnation` is the one that answered last, if any has.
    worker_incarnation_id listed_incarnation;
    /// Whether the log has it among the workers on which tasks may have been started.
    bool in_roster = false;
    /// Whether the next roster leaves it out, so that it gets no start before one has it again.
    bool leaves_roster = false;
    /// Whether the log may have it among the workers that this leader has not reached, so that it gets no
    /// lease.
    bool recorded_unreached = false;
    /// Whether it drains and the log has all runs that were started on it, so that it can leave the roster.
    bool drained_runs_recorded = false;
    std::uint32_t drains = 0;  ///< How often it has begun to drain.
    incarnation_proofs proven; ///< Proofs by the present incarnation, in this epoch.
    /// Whether the worker itself has reported its incarnation, which so far only its entry stated.
    bool has_reported_incarnation = false;
    /// Token of the orders to it, raised when a restart is found: an incarnation that has answered under it
    /// carries out no order that was sent before and may have been meant for an earlier incarnation.
    dispatch::fencing_token fencing_token;
    /// Whether a restart was found that the log's roster does not name; until it does, it gets no starts.
    bool restart_unrecorded = false;
    worker_clock clock;
    worker_time lease_until{0}; ///< Latest lease end that was sent to it, on its clock.
    /// Until when, after a restart, it may hold a foreign lease: one of the longest term, because an order
    /// for an earlier incarnation gave it one that ends on the clock of that incarnation.
    core::steady_time foreign_lease_until;
    bool hold_in_flight = false;             ///< Whether a hold has been sent and not answered.
    bool hold_sent_after_expiry = false;     ///< Whether the last hold was sent after the lease had expired.
    bool hold_failed_after_expiry = false;   ///< Whether a hold sent after the expiry got no answer.
    std::uint64_t answered_holds = 0;        ///< Number of answers to holds in this epoch.
    bool more_ends_follow = false;           ///< Whether its last answer may have left out ends.
    core::steady_time hold_sent_at;          ///< When the last hold was sent.
    core::steady_time answered_hold_sent_at; ///< When the last hold that was answered was sent.
    core::steady_time next_hold_at;          ///< Earliest time of the next hold.
    std::uint32_t unanswered_holds = 0;      ///< Consecutive holds without an answer.
    std::uint64_t last_end_applied = 0;      ///< Highest number of an end that has been applied.
    std::map<std::uint64_t, unknown_end> unknown_ends; ///< By number; those that are not resolved.
    std::uint64_t last_end_recorded = 0;   ///< Highest number of an end whose effect is in the log.
    core::resources reserved;              ///< Resources reserved for its runs.
    core::resources reserved_for_services; ///< The part of `reserved` for long-running runs.
    /// The part of `reserved` for other tasks' kept places.
    core::resources reserved_for_kept_places;
    std::set<workflow::run_name> runs; ///< Runs that reserve resources on it.
    /// Tasks that are being moved to it or belong to a gang that waits; they reserve resources as runs do,
    /// also more than are free now.
    std::set<workflow::task_name> kept_places;
    std::uint32_t long_running_runs = 0; ///< Runs of long-running steps.
    std::uint32_t leftover_runs = 0;     ///< Runs of steps that use leftover processor time.
    std::int64_t leftover_millicores = 0;
    /// Whether it reports runs that this host does not track; its free capacity is then unknown.
    bool has_unknown_runs = false;
    bool runs_given_up = false;    ///< Whether its lease has expired and its runs were given up.
    core::steady_time avoid_until; ///< No new starts until then.
    bool accepted_starts = false;  ///< Result of `accepts_starts` at the last check.
    decaying_counter failures;     ///< Recent failures of runs on it.
    decaying_counter successes;    ///< Recent successes of runs on it.
    bool suspected_faulty = false; ///< Gets no new starts until its failures have decayed.

    /// A restarted worker may differ from its former incarnation in all that its entry states.
    /// @return whether the entry (labels, capacity, rack, service) is one of the present incarnation.
    [[nodiscard]] bool is_described() const { return this->listed_incarnation == this->entry.incarnation; }

    /// @return whether tasks may be started on it, regardless of capacity, labels and advice.
    [[nodiscard]] bool accepts_starts(core::steady_time now) const {
        return this->listed && this->in_roster && !this->leaves_roster && !this->restart_unrecorded &&
               !this->recorded_unreached && this->proven.inventory_complete && this->is_described() &&
               !this->has_unknown_runs && !this->entry.draining && !this->suspected_faulty &&
               this->unanswered_holds == 0 && now >= this->avoid_until;
    }

    /// @return whether it may keep runs or ends of a former leader that it has not listed, under a lease that
    /// this leader may have extended.
    [[nodiscard]] bool may_hide_runs() const {
        return this->answered_holds > 0 && !this->proven.inventory_complete && !this->runs_given_up;
    }

    /// @return the highest number up to which the effects of all ends are known.
    [[nodiscard]] std::uint64_t last_resolved_end() const {
        return this->unknown_ends.empty() ? this->last_end_applied : this->unknown_ends.begin()->first - 1;
    }

    /// @return whether most of its recent runs failed.
    [[nodiscard]] bool seems_faulty(core::steady_time now) const;

    /// @return its capacity that is not reserved; negative amounts if kept places wait for runs to end.
    [[nodiscard]] core::resources free_capacity() const { return this->entry.capacity - this->reserved; }

    /// @return whether what is reserved, kept places included, fits within its capacity.
    [[nodiscard]] bool has_room_for_kept_places() const {
        return this->reserved.fits_in(this->entry.capacity);
    }

    /// @return its capacity that is free once its present short runs have ended.
    [[nodiscard]] core::resources capacity_when_idle() const {
        return this->capacity_beside_services() - this->reserved_for_kept_places;
    }

    /// @return its capacity that is free once its present short runs have ended and no places are kept.
    [[nodiscard]] core::resources capacity_beside_services() const {
        return this->entry.capacity - this->reserved_for_services;
    }
};

} // namespace rattanmount::dispatch
