#include "dispatch/cap_check.h"

#include "core/errors.h"
#include "dispatch/run_manager.h"
#include "dispatch/team_accounts.h"

#include <cstdint>
#include <string>

namespace rattanmount::dispatch {

namespace {

/// @return the least that has to run at a time for the step to make progress.
core::resources least_at_once(const workflow::step_request& step) {
    return reserved_resources(step) * (step.gang ? static_cast<std::int64_t>(step.tasks) : 1);
}

} // namespace

void check_fits_cap(const workflow::job_request& job, const tenancy::team_policy& team) {
    for (std::size_t i = 0; i < job.steps.size(); i++) {
        const auto least = least_at_once(job.steps[i]);
        const auto excess = least.first_excess(limits_of(team.cap, least));
        if (!excess.empty()) {
            throw core::invalid_argument("step " + std::to_string(i) + " needs more " + excess + " (" +
                                         least.text() + ") than its team may have (" + team.cap.text() + ")");
        }
    }
}

} // namespace rattanmount::dispatch
