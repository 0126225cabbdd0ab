#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "workflow/job_request.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanmount::dispatch {

/// One term of the cost by which workers are compared.
struct cost_term {
    std::string name;
    double value = 0;

    friend bool operator==(const cost_term&, const cost_term&) = default;
};

/// A worker on which a task could start now.
struct candidate_worker {
    core::worker_id worker;
    double cost = 0; ///< The sum of the terms; the worker with the lowest cost is chosen.
    std::vector<cost_term> terms;

    friend bool operator==(const candidate_worker&, const candidate_worker&) = default;
};

/// Where the tasks of the first step of a job would start if it was submitted now.
///
/// A value type. Nothing is sent or recorded for it.
struct placement_explanation {
    core::team_id team; ///< Empty if the job belongs to none.
    workflow::queue_id queue;
    std::uint32_t priority = 0;
    std::uint32_t known_workers = 0;          ///< Workers of the queue's service.
    std::uint32_t fitting_workers = 0;        ///< Those on which a task could start now.
    bool needs_advice = false;                ///< Whether advice may still rule out some of them.
    std::vector<candidate_worker> candidates; ///< The best few of them, the one to be chosen first.
    std::vector<std::string> waits_for;       ///< What keeps tasks from starting now; empty if nothing does.

    friend bool operator==(const placement_explanation&, const placement_explanation&) = default;
};

} // namespace rattanmount::dispatch
