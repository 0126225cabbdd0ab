#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "release/release_note.h"

#include <cstdint>
#include <functional>

namespace rattanmount::scheduling {

/// What varies in the decisions of a scheduler. All hooks are called by the thread that calls the scheduler.
struct scheduler_options {
    /// The last policy of a pool, also of a withdrawn one; nullptr where the pool is unknown.
    std::function<const release::pool_policy*(const core::pool_id&)> pool;
    /// The last policy of a team; nullptr where the team is unknown.
    std::function<const release::team_policy*(const core::team_id&)> team;
    /// What a team holds on other shards of its region, as far as known; counts against its quota.
    std::function<core::resources(const core::team_id&)> remote_usage;

    double urgent_reserve = 0.05;     ///< Share of the shard's room that only urgent pools may use, 0 to 1.
    core::milliseconds ageing{60000}; ///< A wait of this length raises a job by one step of priority.
    /// Failures in a row of different jobs, which other workers finish, before a worker is set aside.
    std::uint32_t quarantine_failures = 3;
    core::milliseconds quarantine_time{
        60000};                         ///< Until a worker that was set aside gets one task as a probe.
    double quarantine_max_share = 0.25; ///< Of the workers that may be set aside at once, 0 to 1.
    std::size_t max_estimates = 4096;   ///< Of teams in pools, those used last.
    core::milliseconds default_run_time{60000}; ///< Estimate where a job declares none and none was seen.
    double straggler_factor = 4.0;         ///< A task that runs this many times its estimate is a straggler.
    core::milliseconds preempt_after{250}; ///< Wait of an urgent job before others are preempted for it.
    core::milliseconds checkpoint_timeout{700}; ///< Time for a checkpoint before the task is stopped.
    core::milliseconds reservation_max_age{
        1000}; ///< How long a reservation stands before it is computed anew.
};

} // namespace rattanmount::scheduling
