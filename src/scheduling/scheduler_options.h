#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "release/release_note.h"

#include <cstdint>
#include <functional>

namespace rattanmount::scheduling {

/// Hooks and limits of a scheduler. The hooks are called on the thread that calls the scheduler.
struct scheduler_options {
    /// Returns the latest policy of a pool, including a withdrawn pool; nullptr if the pool is unknown.
    std::function<const release::pool_policy*(const core::pool_id&)> pool;
    /// Returns the latest policy of a team; nullptr if the team is unknown.
    std::function<const release::team_policy*(const core::team_id&)> team;
    /// Returns the last known usage of a team on the other shards of its region. It counts against the quota.
    std::function<core::resources(const core::team_id&)> remote_usage;

    /// Share of the shard's capacity that only urgent pools may use, 0 to 1.
    double urgent_reserve = 0.05;
    core::milliseconds ageing_interval{60000}; ///< Each wait of this length raises a job's priority by 1.
    /// Consecutive failures that put a worker in quarantine; class quarantine says which failures count.
    std::uint32_t quarantine_failures = 3;
    core::milliseconds quarantine_time{
        60000}; ///< Time in quarantine before a worker gets one task as a probe.
    /// Largest share of the workers that may be in quarantine at once, 0 to 1.
    double quarantine_max_share = 0.25;
    /// Team and pool pairs with an estimate; the least recently used is evicted.
    std::size_t max_estimates = 4096;
    /// Estimate for a job that declares no run time and has no history.
    core::milliseconds default_run_time{60000};
    /// A task that has run for this many times its estimate is a straggler.
    double straggler_factor = 4.0;
    /// How long an urgent job waits before other tasks are preempted for it.
    core::milliseconds preempt_after{250};
    core::milliseconds checkpoint_timeout{700};   ///< How long a task has to checkpoint before it is stopped.
    core::milliseconds reservation_max_age{1000}; ///< Age at which a reservation is computed again.
};

} // namespace rattanmount::scheduling
