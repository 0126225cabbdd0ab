#pragma once

#include "core/time.h"
#include "dispatch/orders.h"
#include "dispatch/step_run_times.h"
#include "workflow/cell_state.h"
#include "workflow/progress_layout.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace rattanmount::dispatch {

/// State of the last order for a run.
enum class run_phase : std::uint8_t {
    starting,    ///< The start was sent and is not answered.
    running,     ///< The worker has confirmed the start.
    unconfirmed, ///< The start got no answer; it may have been carried out, or may be later.
    stopping,    ///< A stop was sent; it may have been answered.
};

/// A run of a task that reserves resources on a worker.
struct live_run {
    std::uint32_t run = 0;
    core::worker_id worker;
    worker_incarnation_id incarnation; ///< Of the worker, when the run was started, adopted or last listed.
    run_phase phase = run_phase::starting;
    std::optional<core::steady_time> answered_at; ///< When its last order was answered.
    core::steady_time retry_at;                   ///< When an unanswered order is sent again.
    std::uint32_t start_tries = 1;
    core::steady_time start_sent_at; ///< When the last try of its start was sent.
    /// Whether its start was sent once, and `incarnation` has listed it or has answered with a clock that no
    /// later incarnation shows. If not, a later one may carry the start out.
    bool is_confirmed = false;
    ticket_id ticket;
    workflow::checkpoint_id checkpoint; ///< The newest one that the worker reported.
    /// Value of `worker_state::answered_holds` when an answer last listed it.
    std::uint64_t last_listing = 0;
    /// Whether all its work was done since `answered_at`: it was started here, and not from a checkpoint.
    bool is_timed = false;
};

/// Most runs that a task has at a time, where copies are allowed.
constexpr std::size_t max_runs_per_task = 2;
/// Most runs of a task that a leader starts beyond those in its last stored record of the task. A successor
/// leaves out as many numbers for each leader since that record, so that no two runs have the same number.
constexpr std::uint32_t max_unrecorded_runs = 32;

/// State of a task of a live job.
struct live_task {
    bool done = false;
    bool queued = false;                 ///< Whether it is in its step's queue.
    std::set<std::uint32_t> failed_runs; ///< Numbers of failed runs; the same for all tasks of a gang.
    std::uint32_t last_run = 0;
    /// The number from which a successor would count unrecorded runs: `last_run` in the last stored record
    /// or, if this leader has stored none, the first value of `last_run`.
    std::uint32_t recorded_run = 0;
    std::uint32_t ended_run = 0;
    workflow::checkpoint_id checkpoint;
    std::vector<live_run> runs; ///< More than one only where copies are allowed.
    /// Worker on which the log has it running; empty once its state there is known.
    core::worker_id recorded_worker;
    std::set<core::worker_id> failed_workers; ///< Workers on which it failed.

    /// @return whether a successor leaves out the number of its next run.
    [[nodiscard]] bool may_number_run() const {
        return this->last_run - this->recorded_run < max_unrecorded_runs;
    }
};

/// Answers of the advisory service about one step.
struct step_advice {
    struct ticket {
        ticket_id id;
        worker_incarnation_id incarnation;
        core::steady_time expires_at;
    };
    std::map<core::worker_id, ticket> allowed; ///< Permissions do not expire, but their tickets may have.
    std::set<core::worker_id> denied;
    bool request_in_flight = false;
    core::steady_time retry_at;
};

struct live_job;

/// State of a step of one occurrence.
struct live_step {
    live_job* job = nullptr;
    const workflow::step_request* request = nullptr;
    workflow::step_name name;
    std::vector<live_task> tasks;
    std::deque<std::uint32_t> waiting; ///< Indexes of the tasks that wait to be started.
    std::uint32_t done_tasks = 0;
    step_advice advice;
    core::steady_time due_at; ///< When its occurrence was due: the latency objective counts from then.
    core::milliseconds remaining_work{0}; ///< Estimate of the longest chain of work from its start on.
    step_run_times run_times;             ///< How long its tasks have taken.
    /// Workers on which places are kept for the tasks of a waiting gang, by index; empty if there are none.
    std::vector<core::worker_id> kept_workers;
    core::steady_time place_again_at; ///< When a waiting gang is placed again although nothing has changed.
    /// Since when a gang for one rack has waited for one with room; empty if it does not wait for that.
    std::optional<core::steady_time> waits_for_rack_since;
    bool may_span_racks = false; ///< Whether a gang for one rack may now run on several.
    std::map<core::worker_id, std::uint32_t> runs_per_worker; ///< Number of runs of the step per worker.
    bool ready = false;
    /// Whether the next placement has to look at all permitted workers: tasks or workers were added, or the
    /// last one was held back by the cap of its team or by orders in flight.
    bool needs_placement = false;

    /// @return whether all its tasks are done.
    [[nodiscard]] bool complete() const { return this->done_tasks == this->tasks.size(); }
};

/// Sort key of steps that may start: priority, arrival number of the job, occurrence, step.
using step_sort_key = std::tuple<std::uint32_t, std::uint64_t, std::uint32_t, std::uint32_t>;

/// State of one occurrence of a job's steps.
struct live_occurrence {
    std::vector<live_step> steps;
    std::uint32_t complete_steps = 0;
};

/// State of a job that has not ended or still has runs.
struct live_job {
    const workflow::job_entry* entry = nullptr;
    /// Occurrences that are due, by number, without those that are folded.
    std::map<std::uint32_t, live_occurrence> occurrences;
    std::uint32_t next_occurrence = 0; ///< The first that is not due yet.
    /// Occurrences before this one were opened by a former leader, whose clock may have been ahead.
    std::uint32_t first_unrecorded_occurrence = 0;
    std::uint32_t complete_occurrences = 0;
    workflow::job_phase phase = workflow::job_phase::queued;
    core::milliseconds latency_objective{0};         ///< Within this time, an occurrence of it should end.
    bool dirty = false;                              ///< Whether it has unrecorded progress.
    std::optional<workflow::progress_layout> layout; ///< Set together with `entry`.
    std::set<workflow::part_id> changed_parts;       ///< Parts with unrecorded progress.
    std::set<workflow::part_id> recorded_parts;      ///< Parts that may have records of their own in the log.
    /// Whether later parts have records of their own, or the record of the job holds them as well.
    bool recorded_in_parts = false;
    /// The record of the job that was last made in this epoch.
    std::optional<workflow::job_progress> record;
    /// By number, the occurrences that are complete and no longer in `occurrences`.
    std::vector<bool> folded_occurrences;
    bool beyond_rate = false; ///< It came beyond the rate at which its team may send jobs.
    /// When this host learned that it was stored, until the log has proved that this host led at that time:
    /// otherwise a successor may have read it, as a job that nobody has started.
    std::optional<core::steady_time> unproven_since;
    bool inherited = false; ///< Accepted before this host led: a former leader may have started its tasks.
    /// No task is started any more and the runs are being stopped; also set if the job completed or failed.
    bool cancelled = false;

    /// @return the job's policy.
    [[nodiscard]] const workflow::queue_policy& policy() const { return this->entry->accepted.policy; }

    /// @return the team whose job it is; empty if it belongs to none.
    [[nodiscard]] const core::team_id& team() const { return this->entry->accepted.team; }

    /// @return the job's name.
    [[nodiscard]] const workflow::job_key& key() const { return this->entry->accepted.request.key; }
};

/// Returns whether a task may start now: whether its job is not unproven, its team's cap leaves room for it,
/// a successor leaves out the number of its run, and no run of it that a former leader started can be left.
using start_check = std::function<bool(const live_step&, const live_task&, core::steady_time)>;

/// Adds an occurrence to a job, with the progress that the log has of it.
/// @param job the job; its entry must be set.
/// @param occurrence the number of the occurrence.
/// @param epoch the epoch in which this host leads. If the job is inherited, its tasks leave out the run
/// numbers that leaders of earlier epochs may have used without recording them.
/// @param due_at when the occurrence was due.
void add_occurrence(live_job& job, std::uint32_t occurrence, core::epoch_id epoch, core::steady_time due_at);

/// @param job a job with its policy.
/// @return by step, an estimate of the longest chain of work from its start to the end of the job, with one
/// advice request per step.
[[nodiscard]] std::vector<core::milliseconds> longest_chains(const workflow::job_accepted& job);

/// @param job a job with its policy.
/// @return the time within which an occurrence of it should end.
[[nodiscard]] core::milliseconds latency_objective_of(const workflow::job_accepted& job);

/// @param step a step.
/// @return whether none of its tasks has a run.
[[nodiscard]] bool has_no_runs(const live_step& step);

/// @param step a step.
/// @return its sort key.
[[nodiscard]] step_sort_key sort_key_of(const live_step& step);

} // namespace rattanmount::dispatch
