#pragma once

#include "core/calls.h"
#include "core/time.h"

#include <functional>

namespace rattanmount::app {

struct job_wait_options {
    /// Submits the job; repeated until it is known whether the job was accepted.
    std::function<core::job_answer(core::milliseconds limit)> submit;
    std::function<core::job_answer(core::milliseconds limit)> status;
    std::function<core::steady_time()> now;
    std::function<void(core::milliseconds)> sleep;
    core::milliseconds limit{0};      ///< Time limit of all calls and pauses together.
    core::milliseconds call_limit{0}; ///< Time limit of one call.
};

/// Submits a job and polls its status, with exponential back-off, until it has ended or was refused.
///
/// A call that reaches no host or whose outcome is not known is repeated: calls with the same team and key
/// are idempotent. Blocks the calling thread.
/// @param options the calls, the clock and the limits.
/// @return the last answer; `unsettled` if the job has not ended within the limit.
/// @throws core::unavailable or core::outcome_unknown if the last call within the limit threw it.
/// @throws core::invalid_argument if the job is not valid.
[[nodiscard]] core::job_answer wait_for_job(const job_wait_options& options);

} // namespace rattanmount::app
