#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "workflow/job_request.h"
#include "workflow/queue_policy.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace rattanmount::workflow {

/// Phase of a job.
enum class job_phase : std::uint8_t {
    queued,    ///< Accepted; no task has been started.
    running,   ///< At least one task has been started.
    completed, ///< All tasks succeeded.
    failed,    ///< A task reached the number of failures at which its queue gives up.
    cancelled, ///< Cancelled on request.
};

/// Records that a job was accepted.
struct job_accepted {
    job_request request;
    queue_policy policy; ///< The policy of its queue when the job was accepted.
    core::system_time accepted_at;
    core::team_id team; ///< The team whose key the caller had; empty: the job belongs to no team.
};

/// Records that a job is cancelled.
struct job_cancelled {
    job_key key;
    core::team_id team; ///< The team that cancels; a job that belongs to another team is not cancelled.
};

/// Recorded progress of a task that is not done.
struct task_progress {
    /// Run numbers; a set, because workers report failures in any order and repeatedly.
    std::set<std::uint32_t> failed_runs;
    std::uint32_t last_run = 0;  ///< Highest number of a run that is known to have been started.
    std::uint32_t ended_run = 0; ///< Highest number of a run that is known to have ended.
    checkpoint_id checkpoint;
    core::worker_id worker; ///< Worker of last_run, as long as that run is not known to have ended.

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// Recorded progress of consecutive tasks of a step of one occurrence.
struct step_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t first = 0;                     ///< Index of the first task.
    std::vector<bool> done;                      ///< From the first task on; empty: no task is done.
    std::map<std::uint32_t, task_progress> open; ///< By task index; tasks without progress are omitted.

    friend bool operator==(const step_progress&, const step_progress&) = default;
};

/// Identifies a part of a job's progress: the tasks of one occurrence that progress_layout puts together.
struct part_id {
    std::uint32_t occurrence = 0;
    std::uint32_t number = 0;

    friend auto operator<=>(const part_id&, const part_id&) = default;
};

/// Records the phase of a job and the progress of its first part; replaces earlier records of it.
struct job_progress {
    job_key key;
    job_phase phase = job_phase::queued;
    std::vector<step_progress> steps; ///< Empty once the job has ended.
    /// By number, the occurrences of which all tasks are done and nothing else is recorded; later ones may be
    /// missing.
    std::vector<bool> complete_occurrences;
    /// Whether other parts have records of their own. If not, this record holds the whole progress of the
    /// job: it has one part only, or a former version of this program wrote the record.
    bool in_parts = false;
    /// The team of a job that has ended, because the log no longer has the record of its acceptance.
    core::team_id team;
    core::epoch_id epoch; ///< In which it was made; 0 if it has ended or a former version made the record.

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

/// Records the progress of a part of a job other than the first one; replaces earlier records of that part.
///
/// Each record of a part is valid by itself: a successor takes a part whose last record was not stored to be
/// as it was before, as it does a whole job. The workers still list the ends that the record would have had,
/// because they are acknowledged only once all records of a batch are stored.
struct part_progress {
    job_key key;
    part_id part;
    std::vector<step_progress> steps; ///< Empty: the part is deleted from the log.
    core::epoch_id epoch;             ///< In which it was made; 0 if a former version made the record.

    friend bool operator==(const part_progress&, const part_progress&) = default;
};

/// Records that an ended job has no runs left, or that a new leader found it ended. Only its outcome is kept;
/// its payload and steps are dropped.
struct job_closed {
    job_key key;
};

/// Records that an ended job is removed after its retention time.
struct job_forgotten {
    job_key key;
    std::vector<part_id> parts; ///< Parts that the log still has.
};

/// Records that a host leads the cell, or resigns.
struct leader_record {
    core::epoch_id epoch;
    core::host_id host;          ///< The leader.
    core::incarnation_id leader; ///< The incarnation of that host.
    bool resigned = false;

    friend bool operator==(const leader_record&, const leader_record&) = default;
};

/// Records a host that accepts calls from its peers, or that it has left.
struct member_record {
    core::host_id host;
    core::incarnation_id incarnation;
    core::endpoint inner; ///< Its address for the inner protocol.
    core::data_centre_id data_centre;
    bool left = false;
    double processor_share = 0; ///< Share of one core that the host may use; 0: not known.
    double link_mbps = 0;       ///< Bandwidth of the host's link, in Mbit/s; 0: not known.
};

/// Records the workers on which tasks may have been started. A worker is added before the first start on it.
struct roster_record {
    std::set<core::worker_id> workers;
    core::epoch_id epoch; ///< In which it was recorded; 0 if `unreached` is empty.
    /// Those that the leader of this epoch has not reached: it has granted no lease there, and will grant
    /// none before a roster without them is in the log. All leases on them are of leaders that could not
    /// grant any more when this was recorded.
    std::set<core::worker_id> unreached;
    /// The incarnations that the leader knew when it recorded this; one that it did not know is missing. A
    /// later incarnation gets no start before a roster that names it is in the log.
    std::map<core::worker_id, worker_incarnation_id> incarnations;
    /// Those of `incarnations` that may hold a lease that was meant for an earlier incarnation. It is of the
    /// longest term and was granted before the first roster that names the incarnation here.
    std::set<core::worker_id> restarted;
};

/// A record of the cell's log.
using cell_record = std::variant<job_accepted, job_cancelled, job_progress, part_progress, job_closed,
                                 job_forgotten, leader_record, member_record, roster_record>;

/// @param phase a phase.
/// @return its name.
[[nodiscard]] std::string_view to_string(job_phase phase);

/// @param phase a phase.
/// @return whether the job has ended, so that none of its tasks will be started again.
[[nodiscard]] constexpr bool is_over(job_phase phase) {
    return phase == job_phase::completed || phase == job_phase::failed || phase == job_phase::cancelled;
}

} // namespace rattanmount::workflow
