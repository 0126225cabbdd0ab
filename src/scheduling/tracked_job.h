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

/// The attempts at one task, as far as the scheduler was told.
struct task_attempts {
    std::uint32_t last_bound = 0; ///< The highest that was bound or adopted.
    std::uint32_t last_ended = 0; ///< The highest that is over.
};

/// A job that the scheduler knows, with its tasks that wait.
struct tracked_job {
    core::job_spec spec; ///< Without its payload.
    core::steady_time waiting_since;
    std::uint64_t serial = 0; ///< Orders jobs that wait since the same time.
    std::set<std::uint32_t> waiting_tasks;
    std::map<std::uint32_t, core::worker_id> placed_on; ///< Tasks placed or running, and where.
    std::map<std::uint32_t, task_attempts> attempts;
    bool has_started = false;               ///< Some task was placed at some time.
    std::vector<core::worker_id> failed_on; ///< Workers that failed a task of it; avoided where others fit.
    job_group* group = nullptr;             ///< Set while a task waits.
};

/// Orders the jobs of a group: who waits longest comes first.
struct older_job_first {
    bool operator()(const tracked_job* left, const tracked_job* right) const {
        return left->waiting_since != right->waiting_since ? left->waiting_since < right->waiting_since
                                                           : left->serial < right->serial;
    }
};

} // namespace rattanmount::scheduling
