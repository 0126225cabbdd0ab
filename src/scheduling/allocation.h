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

/// The place of a worker in worker_table.
using row_index = std::uint32_t;
/// No worker: it left the shard or was never known.
constexpr row_index no_row = UINT32_MAX;

/// Why a worker was chosen, as figures for explain.
struct placement_reason {
    std::uint32_t candidates = 0; ///< Workers that had room.
    dimension scarcest = dimension::processors;
    std::int64_t remaining = 0; ///< Of the scarcest amount on the worker after the placement.
    bool spread = false;        ///< The rack was chosen first.
    bool probe = false;         ///< A probe of a worker that had been set aside.
    bool adopted = false;       ///< Found on the worker; chosen by an earlier owner of the shard.
};

/// What one placed or running task holds.
struct allocation {
    core::attempt_id attempt;           ///< Its attempt number is 0 until it is bound.
    std::uint32_t previous_attempt = 0; ///< The highest attempt at the task before this one.
    core::worker_id worker;
    row_index row = no_row;
    std::uint32_t rack = 0; ///< Number of the worker's rack in the worker table.
    core::resources declared;
    core::resources size;     ///< Declared or corrected, what is larger; counts for team and pool.
    core::resources occupied; ///< What counts on the worker: the size, or its use where that is more.
    core::steady_time since;
    core::milliseconds declared_run_time{0};
    core::milliseconds estimated_run_time{0}; ///< By the estimates; core::milliseconds::max() for a service.
    core::work_kind kind = core::work_kind::batch;
    bool idempotent = true;
    bool urgent = false; ///< Whether it may use the reserve.
    team_account* team = nullptr;
    pool_account* pool = nullptr;
    std::shared_ptr<estimate> estimates;
    placement_reason reason;
    std::optional<preemption_kind> requested_preemption; ///< The last preemption asked for.
    core::steady_time preemption_requested_at;
    core::job_id preempted_for;

    /// @param now the time.
    /// @param straggler_factor from this many times its expected time on a task is a straggler.
    /// @return when it will be over by the estimates, after `now`; a task that is late is expected to take
    /// twice
    ///         its expected time, then four times, and so on. Empty for a service and for a straggler.
    [[nodiscard]] std::optional<core::steady_time> estimated_end(core::steady_time now,
                                                                 double straggler_factor) const;

    /// @return whether it runs far longer than expected.
    [[nodiscard]] bool is_straggler(core::steady_time now, double straggler_factor) const;
};

} // namespace rattanmount::scheduling
