#pragma once

#include "core/calls.h"
#include "core/time.h"

#include <functional>

namespace rattanmount::app {

/// What waiting for a job needs.
struct job_wait_options {
    std::function<core::job_answer(core::milliseconds limit)> submit; ///< Repeated until its fate is known.
    std::function<core::job_answer(core::milliseconds limit)> status;
    std::function<core::steady_time()> now;
    std::function<void(core::milliseconds)> sleep;
    core::milliseconds limit{0};      ///< For all calls and pauses together.
    core::milliseconds call_limit{0}; ///< For one call.
};

/// Submits a job and asks for its status, with growing pauses, until it has ended.
///
/// A call that reaches no host or whose fate is not known is repeated: the team and key make it the same
/// request. Blocks the calling thread.
/// @param options the calls, the clock and the limits.
/// @return the last answer; `unsettled` where the job had not ended within the limit.
/// @throws core::unavailable or core::fate_unknown where the last call within the limit did.
/// @throws core::invalid_argument where the job is not valid.
[[nodiscard]] core::job_answer wait_for_job(const job_wait_options& options);

} // namespace rattanmount::app
