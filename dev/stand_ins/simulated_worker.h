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
    core::milliseconds hold{10'000};     ///< How long tasks run on after the lease lapsed.
    core::milliseconds usage_lag{1'000}; ///< How long a task runs before its use is reported.
};

/// One worker: its lease, the tasks that it runs, and those that ended and are not yet forgotten.
///
/// Nothing happens between calls: settle() brings the state up to a time and records what ended when.
/// Owned by workers_role, which locks; the time is passed in.
class simulated_worker {
public:
    /// @param options its name and size.
    /// @param log where its events are recorded; must outlive the worker.
    simulated_worker(simulated_worker_options options, journal& log);

    /// Ends the tasks whose time has come, and those whose lease lapsed too long ago.
    /// @param now the time.
    void settle(core::steady_time now);

    /// Stops all progress for a time.
    /// @param now the time.
    /// @param length how long.
    void freeze(core::steady_time now, core::milliseconds length);

    /// @param body a request for a lease in JSON.
    /// @param now the time.
    /// @return the lease with the inventory, or how long another lease lasts.
    [[nodiscard]] stand_in_reply lease(const std::string& body, core::steady_time now);

    /// @param body a start in JSON.
    /// @param now the time.
    /// @param fails whether the task is to fail soon after its start.
    /// @return an empty reply, or a refusal.
    [[nodiscard]] stand_in_reply start(const std::string& body, core::steady_time now, bool fails);

    /// @param body an action in JSON.
    /// @param now the time.
    /// @return an empty reply, or a refusal.
    [[nodiscard]] stand_in_reply act(const std::string& body, core::steady_time now);

    /// Records that a call was refused.
    /// @param now the time.
    /// @param attempt the attempt it was about.
    /// @param status the HTTP status.
    /// @param reason why.
    /// @return the refusal.
    [[nodiscard]] stand_in_reply refuse(core::steady_time now, const std::string& attempt,
                                        std::uint16_t status, const std::string& reason);

private:
    struct task {
        core::resources each;
        core::resources use;
        core::steady_time started_at;
        core::steady_time ends_at;
        core::attempt_end natural_end = core::attempt_end::finished;
        bool checkpointed = false;
        std::optional<core::attempt_end> end;
        core::steady_time ended_at;
    };

    [[nodiscard]] bool lease_in_force(core::steady_time now) const;
    [[nodiscard]] bool allowed(std::uint64_t lease, core::steady_time now) const;
    [[nodiscard]] core::resources in_use() const;
    [[nodiscard]] std::string inventory(core::steady_time now) const;
    [[nodiscard]] stand_in_reply grant(const std::string& holder, core::milliseconds term,
                                       core::steady_time now);
    void finish(const std::string& attempt, task& ended, core::attempt_end end, core::steady_time at);

    simulated_worker_options options;
    journal& log;
    std::uint64_t lease_id = 0;
    std::string holder;
    core::steady_time lease_end;
    core::steady_time frozen_until;
    std::map<std::string, task> tasks; ///< By attempt.
};

} // namespace rattanmount::stand_ins
