#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "dispatch/orders.h"

#include <cstdint>
#include <optional>
#include <set>

namespace rattanmount::dispatch {

/// What is known of the clock of one life of a worker.
///
/// A value type.
class worker_clock {
public:
    /// The worker's clock may be this share slow.
    static constexpr double slowest_rate = 0.98;

    /// Takes a reading that came with an answer.
    /// @param reading the worker's clock when it answered.
    /// @param now when the answer arrived here.
    void add_reading(worker_time reading, core::steady_time now);

    /// @return whether there was a reading.
    [[nodiscard]] bool has_reading() const { return this->taken_at.has_value(); }

    /// @param now the time.
    /// @return what the worker's clock shows about now; it shows no less where it is not slow.
    [[nodiscard]] worker_time estimate_at(core::steady_time now) const;

    /// @param time a time on the worker's clock.
    /// @return when it has surely passed there.
    [[nodiscard]] core::steady_time latest_local_time(worker_time time) const;

private:
    worker_time reading{0};
    std::optional<core::steady_time> taken_at;
};

/// Counts events of which each weighs half as much after a few seconds.
///
/// A value type.
class decaying_counter {
public:
    void add(core::steady_time now);

    /// @return the weight of all events at a time.
    [[nodiscard]] double value_at(core::steady_time now) const;

private:
    double weight = 0;
    core::steady_time changed_at;
};

/// A worker as the dispatcher knows it.
struct worker_state {
    worker_entry entry;
    bool listed = true;        ///< In the platform's list.
    bool in_roster = false;    ///< The log has it among the workers on which tasks may have been started.
    bool has_answered = false; ///< It has answered a hold under the token in force.
    worker_clock clock;
    worker_time lease_until{0}; ///< The latest end of its lease that was sent to it.
    core::steady_time
        earliest_expiry; ///< Before this its lease may hold on, by an order meant for an earlier life.
    bool hold_in_flight = false;           ///< A hold is on its way.
    bool hold_sent_after_expiry = false;   ///< The hold that is out was sent after the lease was over.
    bool hold_failed_after_expiry = false; ///< Such a hold was not answered.
    std::uint64_t answered_holds = 0;      ///< Counts the answers to holds.
    core::steady_time hold_sent_at;        ///< When the last hold was sent.
    core::steady_time next_hold_at;        ///< Not before.
    std::uint32_t unanswered_holds = 0;    ///< Holds in a row without an answer.
    std::uint64_t last_end_applied = 0;    ///< The highest end that was applied.
    std::uint64_t last_end_recorded = 0;   ///< The highest end whose effect is in the log.
    core::resources reserved;              ///< Counted for all runs on it.
    std::set<workflow::run_name> runs;     ///< That hold or may hold room on it.
    std::uint32_t long_running_runs = 0;   ///< Long-running ones among them.
    std::uint32_t leftover_runs = 0;       ///< Of steps that take what others leave.
    std::int64_t leftover_millicores = 0;
    bool has_unknown_runs = false; ///< It runs what this host does not account for; its room is not known.
    bool runs_given_up = false;    ///< Its lease has surely lapsed and its runs were given up.
    core::steady_time avoid_until; ///< No new starts before.
    bool accepted_starts = false;  ///< Whether it accepted starts when last looked at.
    decaying_counter failures;     ///< Runs that failed there lately.
    decaying_counter successes;    ///< Runs that ended well there lately.
    bool suspected_faulty = false; ///< It seems to fail what it starts; gets nothing until that has faded.

    /// @return whether tasks may be started on it as far as the worker itself goes.
    [[nodiscard]] bool accepts_starts(core::steady_time now) const {
        return this->listed && this->in_roster && this->has_answered && !this->has_unknown_runs &&
               !this->entry.draining && !this->suspected_faulty && this->unanswered_holds == 0 &&
               now >= this->avoid_until;
    }

    /// @return whether it fails most of what it starts.
    [[nodiscard]] bool seems_faulty(core::steady_time now) const;

    /// @return what is free of its counted capacity.
    [[nodiscard]] core::resources free_capacity() const { return this->entry.capacity - this->reserved; }
};

} // namespace rattanmount::dispatch
