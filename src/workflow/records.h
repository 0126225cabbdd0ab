#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "workflow/job_request.h"
#include "workflow/queue_policy.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace rattanmount::workflow {

/// How far a job is.
enum class job_phase : std::uint8_t {
    queued,    ///< Accepted; no task has been started.
    running,   ///< At least one task has been started.
    completed, ///< All tasks ended well.
    failed,    ///< A task failed as often as its queue allows.
    cancelled, ///< On request.
};

/// A job was handed in and is to be carried out.
struct job_accepted {
    job_request request;
    queue_policy policy; ///< As it was when the job was accepted.
    core::system_time accepted_at;
};

/// A job is not to go on.
struct job_cancelled {
    job_key key;
};

/// What is kept of one task that is not done.
struct task_progress {
    std::set<std::uint32_t> failed_runs; ///< By number; workers may tell of them in any order, and again.
    std::uint32_t last_run = 0;          ///< The highest run that is known to have been started.
    std::uint32_t ended_run = 0;         ///< The highest run that is known to be over.
    checkpoint_id checkpoint;
    core::worker_id worker; ///< Where last_run was started, while it is not known to be over.

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// What is kept of one step of one occurrence.
struct step_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<bool> done;                      ///< By index of the task; empty: none.
    std::map<std::uint32_t, task_progress> open; ///< By index; tasks without anything to keep are left out.

    friend bool operator==(const step_progress&, const step_progress&) = default;
};

/// How far a job is, in full; replaces what was recorded before.
struct job_progress {
    job_key key;
    job_phase phase = job_phase::queued;
    std::vector<step_progress> steps; ///< Empty once the job is over.

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

/// Nothing of an ended job runs any more, so that only its end is kept: not what it consisted of.
struct job_closed {
    job_key key;
};

/// A job that ended long ago is forgotten.
struct job_forgotten {
    job_key key;
};

/// A host leads the cell, or gives the lead up.
struct leader_record {
    core::epoch_id epoch;
    core::host_id host;          ///< That leads.
    core::incarnation_id leader; ///< The life of that host.
    bool resigned = false;

    friend bool operator==(const leader_record&, const leader_record&) = default;
};

/// A host that takes calls of its peers.
struct member_record {
    core::host_id host;
    core::incarnation_id incarnation;
    core::endpoint inner; ///< Where it takes calls of the inner protocol.
    core::data_centre_id data_centre;
    bool left = false;
    double processor_share = 0; ///< Of one core, that the host may use; 0: not known.
};

/// The workers on which tasks may have been started. A worker is in it before the first start there.
struct roster_record {
    std::set<core::worker_id> workers;
};

/// One entry of the cell's log.
using cell_record = std::variant<job_accepted, job_cancelled, job_progress, job_closed, job_forgotten,
                                 leader_record, member_record, roster_record>;

/// @param phase a phase.
/// @return its name as in the source.
[[nodiscard]] std::string_view to_string(job_phase phase);

/// @param phase a phase.
/// @return whether nothing of the job will run any more.
[[nodiscard]] constexpr bool over(job_phase phase) {
    return phase == job_phase::completed || phase == job_phase::failed || phase == job_phase::cancelled;
}

} // namespace rattanmount::workflow
