#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/outcome.h"
#include "core/time.h"
#include "ledger/job_entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::control {

/// State of one task as decided by its shard's owner. The log may not have recorded it yet.
struct task_state {
    core::task_phase phase = core::task_phase::waiting;
    std::uint32_t attempt = 0; ///< Number of the latest attempt; 0: none yet.
    /// Highest attempt number in any inventory, so that no number is reused.
    std::uint32_t highest_seen = 0;
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;     ///< Restarts of a service since it last ran well.
    core::steady_time not_before{}; ///< Earliest restart of a service task that ended.
    std::optional<core::attempt_end> last_end;
};

/// State of one job as decided by its shard's owner. Ahead of the state machine by the records that are still
/// in flight.
struct job_state {
    core::job_spec spec;
    core::steady_time waiting_since;
    std::vector<task_state> tasks;
    bool cancelled = false;
    bool restarting = false;       ///< A gang that lost a task; its remaining tasks are being stopped.
    bool may_have_started = false; ///< A start may have been sent for one of its tasks.
    std::optional<core::outcome> decided_outcome; ///< The decided outcome; its record may still be in flight.

    /// @param entry the recorded job.
    /// @param now the time from which its waiting time counts.
    /// @return the state of the recorded job.
    static job_state from_record(const ledger::job_entry& entry, core::steady_time now);

    /// @return the indices of the waiting tasks.
    [[nodiscard]] std::vector<std::uint32_t> waiting_tasks() const;

    /// @return whether an attempt of any task has been recorded or is being recorded, sent or not.
    [[nodiscard]] bool has_attempts() const;

    /// @return whether any task has an attempt that is not known to have ended.
    [[nodiscard]] bool has_running_tasks() const;

    /// @return whether all tasks have ended for good.
    [[nodiscard]] bool all_ended() const;

    /// @return the latest attempt of the task.
    [[nodiscard]] core::attempt_id attempt_of(std::uint32_t task) const;
};

} // namespace rattanmount::control
