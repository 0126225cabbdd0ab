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
    std::uint32_t bound = 0; ///< The highest that was bound or adopted.
    std::uint32_t over = 0;  ///< The highest that is over.
};

/// A job that the scheduler knows, with its tasks that wait.
struct waiting_job {
    core::job_spec spec; ///< Without its payload.
    core::steady_time since;
    std::uint64_t serial = 0; ///< Orders jobs that wait since the same time.
    std::set<std::uint32_t> waiting;
    std::map<std::uint32_t, core::worker_id> placed_on; ///< Tasks placed or running, and where.
    std::map<std::uint32_t, task_attempts> attempts;
    bool started = false;                   ///< Some task was placed at some time.
    std::vector<core::worker_id> failed_on; ///< Workers that failed a task of it; avoided where others fit.
    job_group* group = nullptr;             ///< Set while a task waits.
};

/// Orders the jobs of a group: who waits longest comes first.
struct waits_longer {
    bool operator()(const waiting_job* left, const waiting_job* right) const {
        return left->since != right->since ? left->since < right->since : left->serial < right->serial;
    }
};

} // namespace rattanmount::scheduling
