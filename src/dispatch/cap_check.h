#pragma once

#include "tenancy/team_policy.h"
#include "workflow/job_request.h"

namespace rattanmount::dispatch {

/// Refuses a job that can never run, because a task or a gang of it is larger than its team's cap.
/// @param job the job.
/// @param team the policy of its team.
/// @throws core::invalid_argument with the step, the resource and the cap.
void check_fits_cap(const workflow::job_request& job, const tenancy::team_policy& team);

} // namespace rattanmount::dispatch
