#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "dispatch/live_job.h"
#include "dispatch/orders.h"
#include "dispatch/worker_state.h"
#include "workflow/queue_policy.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace rattanmount::dispatch {

/// Times and limits of a dispatcher.
struct dispatch_options {
    dispatch_hooks hooks;
    core::milliseconds lease_term{4000}; ///< Of what runs on a worker, renewed by each hold.
    /// The lease while the log does not answer; long, so that an outage ends no work.
    core::milliseconds outage_lease_term{9000};
    core::milliseconds longest_lease{10000}; ///< The worker shortens longer ones.
    core::milliseconds hold_wait{800};       ///< How long a worker may wait for an end before it answers.
    /// As above while answers get lost, so that a lost one hides the ends of a worker for less time.
    core::milliseconds lossy_hold_wait{250};
    core::milliseconds lossy_period{4000}; ///< After an answer that did not come, others may get lost too.
    core::milliseconds hold_retry_interval{250}; ///< Between two holds that got no answer.
    core::milliseconds stop_time{200};           ///< A worker takes at most so long to end a run.
    /// Without a sign that this host still leads, it goes on for so long; a rival may act thereafter.
    core::milliseconds leadership_timeout{6000};
    core::milliseconds order_retry_interval{250}; ///< Until an order without an answer is sent again.
    /// For the answer to the first try of a start; each further try is given twice as long.
    core::milliseconds start_timeout{140};
    core::milliseconds refusal_backoff{600}; ///< A worker that refused a start gets no other for so long.
    core::milliseconds ticket_expiry_margin{300}; ///< Tickets are used up to so long before they expire.
    core::milliseconds advice_retry_delay{250};   ///< After a question for advice that was not answered.
    std::uint32_t max_start_tries = 3;            ///< Of one run; then the run is stopped.
};

/// All that the classes of this package share.
///
/// Owned by the dispatcher; the control thread only.
struct dispatch_state {
    dispatch_options options;
    bool leading = false;
    core::epoch_id epoch; ///< The epoch in which this host leads.
    core::steady_time leading_since;
    core::steady_time list_complete_at; ///< Until then workers that are alive may be missing from the list.
    core::steady_time leadership_confirmed_at; ///< When the log last showed that this host leads.
    core::steady_time lossy_until;             ///< Before this, answers of workers may get lost.
    bool worker_list_read = false;             ///< The platform's list has been read in full.
    std::map<core::worker_id, worker_state> workers;
    std::unordered_map<workflow::job_key, std::unique_ptr<live_job>> jobs;
    std::map<step_sort_key, live_step*> ready_steps;       ///< Steps with tasks that wait for a start.
    std::set<workflow::job_key> dirty_jobs;                ///< Jobs whose progress is to be recorded.
    std::set<workflow::job_key> jobs_awaiting_occurrences; ///< Jobs with occurrences that are not due yet.
    std::set<workflow::job_key> closing_jobs; ///< Jobs that are over; forgotten once all their runs are.
    std::map<workflow::job_key, workflow::job_phase> closed_jobs; ///< Ended jobs to be recorded as closed.
    bool placement_needed = false;           ///< Something changed that may let a task start.
    std::set<core::worker_id> freed_workers; ///< Workers that can take more than when tasks were last placed.
    bool record_immediately = false;         ///< A dirty job has changed its phase.
    std::uint64_t unrecorded_ends = 0;       ///< Ends that wait to be recorded.

    /// @param now the time.
    /// @return whether orders may be given: this host leads and a rival cannot have taken over unseen.
    [[nodiscard]] bool can_send_orders(core::steady_time now) const {
        return this->leading && now < this->leadership_confirmed_at + this->options.leadership_timeout;
    }

    /// @return whether another host may have led before.
    [[nodiscard]] bool has_predecessor() const { return this->epoch > core::epoch_id{1}; }

    /// @return when all leases that a former leader may have extended have surely lapsed.
    [[nodiscard]] core::steady_time inherited_leases_expire_at() const {
        return this->leading_since + this->options.longest_lease;
    }

    /// @param name a step.
    /// @return the step, or null where its job is over, not known, or the occurrence is not due.
    [[nodiscard]] live_step* find_step(const workflow::step_name& name);

    /// Marks a job to be recorded.
    void mark_dirty(live_job& job);

    /// @param worker a worker.
    /// @return who is meant by an order to it.
    [[nodiscard]] order_target target_of(const worker_state& worker) const;
};

} // namespace rattanmount::dispatch
