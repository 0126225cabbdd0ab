#pragma once

#include "control/attempt_state.h"
#include "control/job_state.h"
#include "core/ids.h"

#include <map>
#include <unordered_map>

namespace rattanmount::control {

/// The jobs of a shard that have not ended, and their attempts.
///
/// Owned by job_runner, whose parts share it; used by the control thread only.
struct shard_work {
    std::unordered_map<core::job_id, job_state> jobs;
    std::map<core::attempt_id, attempt_state> attempts; ///< Those that are not known to have ended.
};

} // namespace rattanmount::control
