#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/accounts.h"
#include "scheduling/dimension.h"
#include "scheduling/preemption.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace rattanmount::scheduling {

struct estimate;

/// The index of a worker in worker_table.
using row_index = std::uint32_t;
/// The worker has left the shard or was never known.
constexpr row_index no_row = UINT32_MAX;

/// The figures by which a worker was chosen, for scheduler::explain().
struct placement_reason {
    std::uint32_t candidates = 0;               ///< Workers that had enough free capacity.
    dimension scarcest = dimension::processors; ///< The resource that the shard is shortest of.
    std::int64_t remaining = 0; ///< Free amount of the scarcest resource on the worker after the placement.
    bool spread = false;        ///< Whether the tasks are spread over racks.
    bool probe = false;         ///< Whether the task probes a worker in quarantine.
    bool adopted = false;       ///< Found on the worker: an earlier owner of the shard placed it.
};

/// The resources allocated to one placed or running task.
struct allocation {
    core::attempt_id attempt;           ///< The attempt number is 0 until the placement is bound.
    std::uint32_t previous_attempt = 0; ///< The highest earlier attempt at the task.
    core::worker_id worker;
    row_index row = no_row;
    std::uint32_t rack = 0; ///< The rack's number in worker_table.
    core::resources declared;
    /// Effective size: the declared size or the estimate if larger; counts against team and pool.
    core::resources size;
    core::resources occupied; ///< Counts on the worker: the effective size, or the reported use if larger.
    core::steady_time since;  ///< When it was placed or, once bound, when it started.
    core::milliseconds declared_run_time{0};
    core::milliseconds estimated_run_time{0}; ///< core::milliseconds::max() for a service.
    core::work_kind kind = core::work_kind::batch;
    bool idempotent = true;
    bool urgent = false; ///< Whether it may use the urgent reserve.
    team_account* team = nullptr;
    pool_account* pool = nullptr;
    std::shared_ptr<estimate> estimates;
    placement_reason reason;
    std::optional<preemption_kind> requested_preemption; ///< The last preemption that was requested.
    core::steady_time preemption_requested_at;
    core::job_id preempted_for;

    /// Estimates when the task ends. An overdue task is expected to take 2 times its estimate, then 4 times,
    /// and so on.
    /// @param now the current time.
    /// @param straggler_factor a task that has run for this many times its estimate is a straggler.
    /// @return the estimated end, which is after `now`; empty for a service and for a straggler.
    [[nodiscard]] std::optional<core::steady_time> estimated_end(core::steady_time now,
                                                                 double straggler_factor) const;

    /// @return whether it has run for at least `straggler_factor` times its estimated run time.
    [[nodiscard]] bool is_straggler(core::steady_time now, double straggler_factor) const;
};

} // namespace rattanmount::scheduling
