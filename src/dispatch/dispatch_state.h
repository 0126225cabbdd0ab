#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "dispatch/leader_authority.h"
#include "dispatch/live_job.h"
#include "dispatch/order_window.h"
#include "dispatch/orders.h"
#include "dispatch/retry_schedule.h"
#include "dispatch/shortest_round_trip.h"
#include "dispatch/team_accounts.h"
#include "dispatch/worker_speeds.h"
#include "dispatch/worker_state.h"
#include "workflow/queue_policy.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace rattanmount::dispatch {

/// Timeouts and limits of a dispatcher.
struct dispatch_options {
    dispatch_hooks hooks;
    core::milliseconds lease_term{4000};      ///< Lease of the runs on a worker; a hold may renew it.
    core::milliseconds max_lease_term{10000}; ///< The worker shortens longer leases to this.
    /// How long a proof that this host leads counts, from the moment at which it was asked for.
    core::milliseconds proof_lifetime{1500};
    /// How long this host leads without a proof by the log, if most workers answer it.
    core::milliseconds longest_log_outage{9000};
    /// Longest time that a worker waits for a run to end before it answers a hold.
    core::milliseconds hold_wait{800};
    /// As `hold_wait`, while answers get lost: a lost answer then delays news of ended runs for less time.
    core::milliseconds lossy_hold_wait{250};
    /// How long losses are expected after an answer that did not arrive.
    core::milliseconds lossy_period{4000};
    core::milliseconds hold_retry_interval{250};  ///< Delay between holds that get no answer.
    core::milliseconds max_stop_duration{200};    ///< Longest time that a worker takes to stop a run.
    core::milliseconds order_retry_interval{250}; ///< Delay before an unanswered order is sent again.
    /// Timeout of the first try of a start; it doubles with each further try.
    core::milliseconds start_timeout{140};
    core::milliseconds refusal_backoff{600};      ///< Time without new starts on a worker that refused one.
    core::milliseconds ticket_expiry_margin{300}; ///< Tickets are not used for so long before they expire.
    core::milliseconds advice_retry_delay{250};   ///< Delay after an unanswered advice request.
    std::uint32_t max_start_tries = 3;            ///< Tries per run; after the last one the run is stopped.
};

/// An ended job of which only the phase is kept.
struct closed_job {
    workflow::job_phase phase = workflow::job_phase::cancelled;
    std::vector<workflow::part_id> parts; ///< Parts that may still have records in the log.
};

/// State shared by the classes of this package.
///
/// Owned by the dispatcher; used by the control thread only.
struct dispatch_state {
    dispatch_options options;
    bool leading = false;
    core::epoch_id epoch; ///< Epoch in which this host leads; part of the fencing tokens of its orders.
    /// Until when this host may act as the leader.
    leader_authority authority{{.proof_lifetime = options.proof_lifetime,
                                .longest_log_outage = options.longest_log_outage,
                                .lease_term = options.lease_term,
                                .max_lease_term = options.max_lease_term,
                                .max_stop_duration = options.max_stop_duration}};
    /// Until then, live workers may be missing from the platform's list; used if the log has no roster.
    core::steady_time list_complete_at;
    core::steady_time log_read_at; ///< The log was read to its end as of this time.
    core::steady_time lossy_until; ///< Until then, answers of workers are expected to get lost.
    order_window orders;           ///< Bounds the starts and stops in flight.
    std::map<core::data_centre_id, shortest_round_trip> round_trips; ///< Of calls to workers.
    retry_schedule retries;        ///< The runs whose last order may have to be sent again.
    team_accounts teams;           ///< What each team has running, and what it may have.
    worker_speeds speeds;          ///< How fast each worker is.
    bool worker_list_read = false; ///< Whether the platform's list has been read completely.
    std::map<core::worker_id, worker_state> workers;
    std::uint64_t raised_tokens = 0; ///< Tokens raised in this epoch; part of the fencing tokens.
    std::unordered_map<workflow::job_key, std::unique_ptr<live_job>> jobs;
    std::map<step_sort_key, live_step*> ready_steps; ///< Steps with tasks that wait to be started.
    /// By worker, the tasks that the log has running on it and of which its inventory has shown nothing yet.
    std::map<core::worker_id, std::vector<workflow::task_name>> recorded_tasks;
    std::set<workflow::job_key> dirty_jobs;                ///< Jobs with unrecorded progress.
    std::set<workflow::job_key> unproven_jobs;             ///< Jobs with a live_job::unproven_since.
    std::set<workflow::job_key> jobs_awaiting_occurrences; ///< Jobs with occurrences that are not yet opened.
    /// Ended jobs that are removed once none of their runs is left.
    std::set<workflow::job_key> closing_jobs;
    /// Ended jobs that have not yet been recorded as closed.
    std::map<workflow::job_key, closed_job> closed_jobs;
    bool placement_needed = false;           ///< Whether a change may allow a waiting task to start.
    std::set<core::worker_id> freed_workers; ///< Workers that have gained capacity since the last placement.
    bool record_immediately = false;         ///< Whether a dirty job has changed its phase.
    std::uint64_t unrecorded_ends = 0;       ///< Reported ends of runs that have not yet been recorded.

    /// @param now the current time.
    /// @return whether runs may be started and leases extended: this host leads, and no other host can have
    /// taken over unnoticed.
    [[nodiscard]] bool can_send_orders(core::steady_time now) const {
        return this->leading && this->authority.is_proven(now);
    }

    /// @return whether another leader may have come before.
    [[nodiscard]] bool has_predecessor() const { return this->epoch > core::epoch_id{1}; }

    /// @return the time after which no run under a lease of a former leader is left.
    [[nodiscard]] core::steady_time inherited_leases_expire_at() const {
        return this->authority.inherited_leases_expire_at();
    }

    /// @param worker a worker, which need not be known.
    /// @param now the current time.
    /// @return whether all runs that a former leader started on it have certainly ended, because their leases
    /// have expired. A worker that has answered may hold a lease of this leader, so the expiry of the former
    /// leaders' leases proves nothing about it.
    [[nodiscard]] bool inherited_runs_ended(const core::worker_id& worker, core::steady_time now) const;

    /// @param worker a worker, which need not be known.
    /// @param now the current time.
    /// @return whether the runs that a former leader started on it are known, because it has listed its whole
    /// inventory, or have certainly ended.
    [[nodiscard]] bool is_settled(const core::worker_id& worker, core::steady_time now) const;

    /// @param name a step.
    /// @return the step, or null if its job is unknown or was removed, or if the occurrence is not due.
    [[nodiscard]] live_step* find_step(const workflow::step_name& name);

    /// Adds the round trip of a call to a worker that the worker answered without waiting.
    /// @param worker the worker.
    /// @param sent_at when the call was sent.
    /// @param now the current time.
    void add_round_trip(const worker_state& worker, core::steady_time sent_at, core::steady_time now);

    /// Counts the reply to a start or stop in `orders`.
    /// @param target the target of the order.
    /// @param outcome what became of it.
    /// @param sent_at when it was sent.
    /// @param now the current time.
    void order_finished(const order_target& target, order_outcome outcome, core::steady_time sent_at,
                        core::steady_time now);

    /// @param name a step that find_step() does not find.
    /// @param since a time.
    /// @return whether it does not exist: the log was read to its end as of a later time, and the job is not
    /// one whose occurrence is still to come.
    [[nodiscard]] bool certainly_lacks(const workflow::step_name& name, core::steady_time since) const;

    /// Marks a job as having unrecorded progress.
    void mark_dirty(live_job& job);

    /// Notes that a worker has carried out a start of a job, as its answer, its inventory or an end shows.
    void mark_begun(live_job& job);

    /// Marks a task as having unrecorded progress.
    /// @param step the step of the task.
    /// @param task the index of the task.
    void mark_dirty(live_step& step, std::uint32_t task);

    /// @return the lowest token that is not lower than those of all orders that were sent in this epoch.
    [[nodiscard]] fencing_token highest_token() const {
        return {.epoch = this->epoch, .raised = this->raised_tokens};
    }

    /// Gives a worker a token that is higher than those of all orders that were sent to it.
    void raise_token(worker_state& worker);

    /// Called when another incarnation of a worker than the one that was known has been found. Its proofs
    /// begin anew, and its lease may be one that was meant for an earlier incarnation.
    /// @param worker the worker.
    /// @param now the current time.
    void restart_found(worker_state& worker, core::steady_time now);

    /// @return how long the longest lease that a worker accepts lasts, on this host's clock.
    [[nodiscard]] core::milliseconds longest_lease() const {
        return worker_clock::longest_local_time(this->options.max_lease_term);
    }

    /// Notes that a worker may now hold a lease of the longest term, whatever was sent to it.
    /// @param worker the worker.
    /// @param now the current time.
    void allow_foreign_lease(worker_state& worker, core::steady_time now) const;

    /// @param worker a worker.
    /// @return the target of orders to it.
    [[nodiscard]] order_target target_of(const worker_state& worker) const;
};

} // namespace rattanmount::dispatch
