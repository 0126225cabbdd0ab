#pragma once

#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"
#include "stand_ins/journal.h"
#include "stand_ins/stand_in_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::stand_ins {

struct simulated_worker_options {
    std::string name;
    core::resources capacity;
    core::milliseconds task_hold{10'000}; ///< How long tasks keep running after the lease has expired.
    core::milliseconds usage_lag{1'000};  ///< How long a task runs before its resource usage is reported.
};

/// Simulates a worker: its lease, its running tasks, and the ended tasks that the lease holder has not yet
/// told it to forget.
///
/// The state changes only in calls: advance_to() moves it to a time and records the tasks that ended. Callers
/// pass the time. Owned by workers_role, which locks its mutex around each call.
class simulated_worker {
public:
    /// @param options the name, the capacity and the timing.
    /// @param events records the events of the worker; must outlive the worker.
    simulated_worker(simulated_worker_options options, journal& events);

    /// Ends the tasks whose run time has elapsed and those whose lease expired longer ago than the hold time.
    /// @param now the current time.
    void advance_to(core::steady_time now);

    /// Stops all progress for a time.
    /// @param now the current time.
    /// @param length the duration.
    void freeze(core::steady_time now, core::milliseconds length);

    /// Grants or renews the lease.
    /// @param body the lease request in JSON.
    /// @param now the current time.
    /// @return the lease and the inventory, or status 409 with the remaining time of the active lease.
    [[nodiscard]] stand_in_reply lease(const std::string& body, core::steady_time now);

    /// Starts a task.
    /// @param body the start request in JSON.
    /// @param now the current time.
    /// @param fails whether the task fails soon after its start.
    /// @return an empty reply or a refusal.
    [[nodiscard]] stand_in_reply start(const std::string& body, core::steady_time now, bool fails);

    /// Stops, checkpoints or throttles a task.
    /// @param body the action in JSON.
    /// @param now the current time.
    /// @return an empty reply or a refusal.
    [[nodiscard]] stand_in_reply act(const std::string& body, core::steady_time now);

    /// Records and returns a refusal.
    /// @param now the current time.
    /// @param attempt the attempt that the call refers to.
    /// @param status the HTTP status.
    /// @param reason why the call was refused.
    [[nodiscard]] stand_in_reply refuse(core::steady_time now, const std::string& attempt,
                                        std::uint16_t status, const std::string& reason);

private:
    struct task {
        core::resources each;
        core::resources used; ///< The usage that it reports.
        core::steady_time started_at;
        core::steady_time ends_at; ///< When it ends unless it is stopped or abandoned.
        core::attempt_end planned_outcome = core::attempt_end::finished; ///< Outcome at ends_at.
        bool checkpointed = false;
        std::optional<core::attempt_end> outcome; ///< Unset while it runs.
        core::steady_time ended_at;
    };

    [[nodiscard]] bool has_active_lease(core::steady_time now) const;
    [[nodiscard]] bool is_active_lease(std::uint64_t lease, core::steady_time now) const;
    [[nodiscard]] core::resources in_use() const;
    [[nodiscard]] std::string inventory(core::steady_time now) const;
    [[nodiscard]] stand_in_reply grant(const std::string& holder, core::milliseconds term,
                                       core::steady_time now);
    void finish(const std::string& attempt, task& ended, core::attempt_end outcome, core::steady_time at);

    simulated_worker_options options;
    journal& events;
    std::uint64_t lease_id = 0;
    std::string holder;
    core::steady_time lease_end;
    core::steady_time frozen_until;
    std::map<std::string, task> tasks; ///< By attempt.
};

} // namespace rattanmount::stand_ins
