#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "external/fleet_service.h"
#include "external/worker_service.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rattanmount::tests {

/// One run of an attempt, as the worker observed it.
struct observed_run {
    core::worker_id worker;
    core::attempt_id attempt;
    core::steady_time from;
    std::optional<core::steady_time> to;
};

/// An in-memory worker that fulfils the contract of external::worker_service. For one thread.
class simulated_worker {
public:
    /// @param info its name and capacity.
    /// @param hold grace period for running tasks after the lease has expired.
    simulated_worker(external::listed_worker info, core::milliseconds hold);

    external::lease_reply lease(const external::lease_request& request, core::steady_time now);
    external::start_reply start(core::lease_id lease, const core::attempt_id& attempt,
                                const core::resources& each, core::milliseconds run_time, bool fails,
                                core::steady_time now);
    void stop(core::lease_id lease, const core::attempt_id& attempt, core::steady_time now);
    /// Loses all tasks and the lease, as a restarted machine does.
    void restart(core::steady_time now);
    /// Ends the tasks that are due by `now`.
    void advance(core::steady_time now);

    [[nodiscard]] const external::listed_worker& info() const { return this->listed; }
    [[nodiscard]] const std::vector<observed_run>& runs() const { return this->history; }
    /// @return the number of starts that exceeded its free capacity.
    [[nodiscard]] std::uint32_t violations() const { return this->violation_count; }

private:
    struct task {
        core::resources each;
        core::steady_time due;
        bool fails = false;
        std::size_t run = 0;
        std::optional<core::attempt_end> end;
    };

    void end_task(task& task, core::attempt_end how, core::steady_time now);
    [[nodiscard]] bool in_force(core::lease_id lease, core::steady_time now) const;

    external::listed_worker listed;
    core::milliseconds hold;
    core::incarnation_id holder;
    core::lease_id current;
    std::uint64_t next_lease = 1;
    core::steady_time lease_end{};
    std::map<core::attempt_id, task> tasks;
    std::vector<observed_run> history;
    std::uint32_t violation_count = 0;
};

} // namespace rattanmount::tests
