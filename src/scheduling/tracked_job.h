#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace rattanmount::scheduling {

class job_group;

/// The attempts at one task that were reported to the scheduler.
struct task_attempts {
    std::uint32_t last_bound = 0; ///< The highest attempt number that was bound or adopted; 0 if none.
    std::uint32_t last_ended = 0; ///< The highest attempt number that has ended; 0 if none.
};

/// A job known to the scheduler, with its waiting and placed tasks.
struct tracked_job {
    core::job_spec spec; ///< The payload is cleared.
    core::steady_time waiting_since;
    std::uint64_t serial = 0; ///< Breaks ties between jobs with the same `waiting_since`.
    std::set<std::uint32_t> waiting_tasks;
    std::map<std::uint32_t, core::worker_id> placed_on; ///< The worker of each placed or running task.
    std::map<std::uint32_t, task_attempts> attempts;
    bool has_started = false;               ///< At least one task has been placed.
    std::vector<core::worker_id> failed_on; ///< Workers on which a task of it failed; avoided if others fit.
    job_group* group = nullptr;             ///< Set while at least one task waits.
};

/// Orders jobs by waiting time, the longest first.
struct older_job_first {
    bool operator()(const tracked_job* left, const tracked_job* right) const {
        return left->waiting_since != right->waiting_since ? left->waiting_since < right->waiting_since
                                                           : left->serial < right->serial;
    }
};

} // namespace rattanmount::scheduling
