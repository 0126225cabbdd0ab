#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "overload/admission_policy.h"

#include <cstddef>
#include <string>
#include <vector>

namespace rattanmount::dispatch {

/// One term of the cost by which workers are compared.
struct cost_term {
    std::string name;
    double value = 0;
};

/// A worker on which a step could start now.
struct candidate_worker {
    core::worker_id worker;
    double cost = 0; ///< The sum of the terms; the lowest is chosen.
    std::vector<cost_term> terms;
};

/// What would become of the first step of a job that was submitted now.
///
/// Nothing is sent or recorded for it. It is made by the functions that the real decision uses.
struct placement_explanation {
    core::team_id team; ///< Empty if the job belongs to none.
    overload::admission_decision admission;
    std::size_t fitting_workers = 0;          ///< Workers on which a task could start now.
    std::vector<candidate_worker> candidates; ///< The best few of them, the one to be chosen first.
    std::string waits_for;                    ///< Empty if all tasks of the step could start now.
    core::milliseconds expected_wait{0};
};

} // namespace rattanmount::dispatch
