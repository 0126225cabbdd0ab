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
    void read(worker_time reading, core::steady_time now);

    /// @return whether there was a reading.
    [[nodiscard]] bool known() const { return this->taken_at.has_value(); }

    /// @param now the time.
    /// @return what the worker's clock shows about now; it shows no less where it is not slow.
    [[nodiscard]] worker_time at(core::steady_time now) const;

    /// @param time a time on the worker's clock.
    /// @return when it has surely passed there.
    [[nodiscard]] core::steady_time surely_after(worker_time time) const;

private:
    worker_time reading{0};
    std::optional<core::steady_time> taken_at;
};

/// Counts events of which each weighs half as much after a few seconds.
///
/// A value type.
class fading_count {
public:
    void add(core::steady_time now);

    /// @return the weight of all events at a time.
    [[nodiscard]] double at(core::steady_time now) const;

private:
    double weight = 0;
    core::steady_time changed_at;
};

/// A worker as the dispatcher knows it.
struct worker_state {
    worker_entry entry;
    bool listed = true;    ///< In the platform's list.
    bool rostered = false; ///< The log has it among the workers on which tasks may have been started.
    bool held = false;     ///< It has answered a hold under the token in force.
    worker_clock clock;
    worker_time lease_until{0}; ///< The latest end of its lease that was sent to it.
    core::steady_time
        lease_floor;       ///< Before this its lease may hold on, by an order meant for an earlier life.
    bool hold_out = false; ///< A hold is on its way.
    bool hold_after_lapse = false;     ///< The hold that is out was sent after the lease was over.
    bool asked_after_lapse = false;    ///< Such a hold was not answered.
    std::uint64_t hold_number = 0;     ///< Counts the answers to holds.
    core::steady_time hold_sent;       ///< When the last hold was sent.
    core::steady_time next_hold;       ///< Not before.
    std::uint32_t unanswered = 0;      ///< Holds in a row without an answer.
    std::uint64_t ends_seen = 0;       ///< The highest end that was applied.
    std::uint64_t ends_stored = 0;     ///< The highest end whose effect is in the log.
    core::resources taken;             ///< Counted for all runs on it.
    std::set<workflow::run_name> runs; ///< That hold or may hold room on it.
    std::uint32_t serving_runs = 0;    ///< Long-running ones among them.
    std::uint32_t leftover_runs = 0;   ///< Of steps that take what others leave.
    std::int64_t leftover_millicores = 0;
    bool foreign_runs = false;     ///< It runs what this host does not account for; its room is not known.
    bool given_up = false;         ///< Its lease has surely lapsed and its runs were given up.
    core::steady_time avoid_until; ///< No new starts before.
    bool accepted = false;         ///< Whether it accepted starts when last looked at.
    fading_count failures;         ///< Runs that failed there lately.
    fading_count successes;        ///< Runs that ended well there lately.
    bool suspected = false;        ///< It seems to fail what it starts; gets nothing until that has faded.

    /// @return whether tasks may be started on it as far as the worker itself goes.
    [[nodiscard]] bool accepts(core::steady_time now) const {
        return this->listed && this->rostered && this->held && !this->foreign_runs && !this->entry.draining &&
               !this->suspected && this->unanswered == 0 && now >= this->avoid_until;
    }

    /// @return whether it fails most of what it starts.
    [[nodiscard]] bool seems_faulty(core::steady_time now) const;

    /// @return what is free of its counted capacity.
    [[nodiscard]] core::resources room() const { return this->entry.capacity - this->taken; }
};

} // namespace rattanmount::dispatch
