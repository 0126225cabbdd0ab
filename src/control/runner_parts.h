#pragma once

#include "control/host_hooks.h"
#include "control/shard_work.h"
#include "control/worker_leases.h"
#include "core/ids.h"
#include "core/time.h"
#include "ledger/shard_state_machine.h"
#include "ledger/stream_session.h"
#include "scheduling/scheduler.h"
#include "telemetry/event.h"

#include <functional>
#include <string>

namespace rattanmount::control {

/// What the parts of a job_runner share: its state, what it records to and what executes its orders.
///
/// Owned by job_runner, which outlives its parts; used by the control thread only.
struct runner_parts {
    core::shard_id shard;
    const host_hooks& hooks;
    const ledger::shard_state_machine& fold; ///< The shard's recorded state.
    ledger::stream_session& session;
    scheduling::scheduler& scheduler;
    shard_work& work;
    worker_leases& leases;
    /// Ends an attempt and decides what follows for its job. May remove the job and the attempt.
    std::function<void(const ended_attempt&, core::steady_time now)> end_attempt;

    /// Reports an event about a job, a worker or both.
    /// @param job a job with an empty key if the event is not about a job.
    void report_event(telemetry::event_kind kind, const core::job_id& job, const core::worker_id& worker,
                      const std::string& detail) const;
};

} // namespace rattanmount::control
