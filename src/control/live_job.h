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

/// One task as the owner of its shard has decided, which the log may not have recorded yet.
struct live_task {
    core::task_phase phase = core::task_phase::waiting;
    std::uint32_t attempt = 0; ///< The newest attempt; 0: none yet.
    std::uint32_t failures = 0;
    std::uint32_t restarts = 0;     ///< Of a service, since it last ran well.
    core::steady_time not_before{}; ///< For a service that ended: when it may start again.
    std::optional<core::attempt_end> last_end;
};

/// One job as the owner of its shard has decided. Runs ahead of the fold by what is not recorded yet.
struct live_job {
    core::job_spec spec;
    core::steady_time waiting_since;
    std::vector<live_task> tasks;
    bool cancelled = false;
    bool restarting = false;             ///< A gang that lost a task: the others are being stopped.
    bool ever_sent = false;              ///< A start may have been sent for one of its tasks.
    std::optional<core::outcome> ending; ///< Decided, with its record on the way.

    /// @param entry the job as recorded.
    /// @param now the time, from which its wait counts on.
    /// @return the job as decided so far.
    static live_job from_record(const ledger::job_entry& entry, core::steady_time now);

    /// @return the indices of the tasks that wait.
    [[nodiscard]] std::vector<std::uint32_t> waiting_tasks() const;

    /// @return whether any task has an attempt that is not known to be over.
    [[nodiscard]] bool anything_running() const;

    /// @return whether all tasks are over for good.
    [[nodiscard]] bool all_ended() const;

    /// @param task the index of a task.
    /// @return its newest attempt.
    [[nodiscard]] core::attempt_id attempt_of(std::uint32_t task) const;
};

} // namespace rattanmount::control
