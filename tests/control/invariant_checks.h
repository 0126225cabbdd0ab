#pragma once

#include "core/calls.h"
#include "core/ids.h"
#include "tests/control/simulated_callers.h"
#include "tests/control/simulated_worker.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// @param runs what the workers observed.
/// @param jobs the submitted jobs.
/// @return a description of every two runs of one task that overlap, and of every task that ran more than
///         once although it is not idempotent.
[[nodiscard]] std::vector<std::string> find_repeated_runs(const std::vector<observed_run>& runs,
                                                          const std::map<core::job_id, submitted_job>& jobs);

/// @param runs what the workers observed.
/// @param jobs the submitted jobs.
/// @param status returns the latest answer about a job.
/// @return a description of every job that ran but was reported as not run, and of every accepted job that is
///         lost.
[[nodiscard]] std::vector<std::string>
find_wrong_answers(const std::vector<observed_run>& runs, const std::map<core::job_id, submitted_job>& jobs,
                   const std::function<std::optional<core::job_answer>(const core::job_id&)>& status);

} // namespace rattanmount::tests
