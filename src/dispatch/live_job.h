#pragma once

#include "core/time.h"
#include "dispatch/orders.h"
#include "workflow/job_book.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace rattanmount::dispatch {

/// How far the order to start or stop a run has come.
enum class run_phase : std::uint8_t {
    starting,    ///< The order to start is on its way.
    running,     ///< The worker has confirmed the start.
    unconfirmed, ///< The order got no answer: it may be carried out, also later.
    stopping,    ///< An order to stop is on its way or was answered.
};

/// One run of a task that holds or may hold room on a worker.
struct live_run {
    std::uint32_t run = 0;
    core::worker_id worker;
    run_phase phase = run_phase::starting;
    std::optional<core::steady_time> answered_at; ///< When the last order on it was answered.
    core::steady_time retry_at;                   ///< When an order without an answer is sent again.
    std::uint32_t start_tries = 1;
    ticket_id ticket;
    workflow::checkpoint_id checkpoint; ///< The newest that the worker told.
    std::uint64_t last_listing = 0;     ///< The number of the last hold whose answer listed it.
};

/// One task as the dispatcher drives it.
struct live_task {
    bool done = false;
    bool queued = false;                 ///< Stands in its step's queue.
    std::set<std::uint32_t> failed_runs; ///< Of a gang, the same for all its tasks.
    std::uint32_t last_run = 0;
    std::uint32_t ended_run = 0;
    workflow::checkpoint_id checkpoint;
    std::vector<live_run> runs;               ///< More than one only where copies are allowed.
    core::worker_id recorded_worker;          ///< Where the log has it running, until that is settled.
    std::set<core::worker_id> failed_workers; ///< Where it failed.
};

/// What the advisory service has said of one step.
struct step_advice {
    struct ticket {
        ticket_id id;
        life_id life;
        core::steady_time expires_at;
    };
    std::map<core::worker_id, ticket> allowed; ///< Tickets may have expired; the permission holds on.
    std::set<core::worker_id> denied;
    bool request_in_flight = false;
    core::steady_time retry_at;
};

struct live_job;

/// One step of one occurrence.
struct live_step {
    live_job* job = nullptr;
    const workflow::step_request* request = nullptr;
    workflow::step_name name;
    std::vector<live_task> tasks;
    std::deque<std::uint32_t> waiting; ///< Indexes of the tasks that wait for a start.
    std::uint32_t done_tasks = 0;
    step_advice advice;
    std::map<core::worker_id, std::uint32_t> runs_per_worker; ///< Runs of the step on each worker.
    bool ready = false;
    bool needs_placement =
        false; ///< More tasks wait or more workers are permitted than when it was last placed.

    /// @return whether all its tasks are done.
    [[nodiscard]] bool complete() const { return this->done_tasks == this->tasks.size(); }
};

/// Where a step stands among those that may start: priority, then the job's place in the order of arrival.
using step_sort_key = std::tuple<std::uint32_t, std::uint64_t, std::uint32_t, std::uint32_t>;

/// One occurrence of a job's steps.
struct live_occurrence {
    std::vector<live_step> steps;
    std::uint32_t complete_steps = 0;
};

/// A job that is not over.
struct live_job {
    const workflow::job_entry* entry = nullptr;
    std::map<std::uint32_t, live_occurrence> occurrences; ///< Those that are due, by number.
    std::uint32_t next_occurrence = 0;                    ///< The first that is not due yet.
    std::uint32_t complete_occurrences = 0;
    workflow::job_phase phase = workflow::job_phase::queued;
    bool dirty = false;     ///< Its progress is to be recorded.
    bool inherited = false; ///< Accepted before this host led: a former leader may have started its tasks.
    bool cancelled = false;

    /// @return the job's policy.
    [[nodiscard]] const workflow::queue_policy& policy() const { return this->entry->accepted.policy; }

    /// @return the job's name.
    [[nodiscard]] const workflow::job_key& key() const { return this->entry->accepted.request.key; }
};

/// Builds the part of a job that is due from what the log has of it.
/// @param job the job, whose entry is set; takes the occurrence.
/// @param occurrence its number.
/// @param run_floor runs that a former leader may have used unrecorded end below this number.
void add_occurrence(live_job& job, std::uint32_t occurrence, std::uint32_t run_floor);

/// @param job a job.
/// @return what to record of it.
[[nodiscard]] workflow::job_progress progress_of(const live_job& job);

/// @param step a step.
/// @return whether none of its tasks has a run.
[[nodiscard]] bool has_no_runs(const live_step& step);

/// @param step a step.
/// @return its place in the order of steps.
[[nodiscard]] step_sort_key sort_key_of(const live_step& step);

} // namespace rattanmount::dispatch
