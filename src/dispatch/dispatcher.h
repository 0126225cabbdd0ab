#pragma once

#include "core/time.h"
#include "dispatch/advice_manager.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/gang_placer.h"
#include "dispatch/inherited_runs.h"
#include "dispatch/lease_manager.h"
#include "dispatch/order_retrier.h"
#include "dispatch/placement_explanation.h"
#include "dispatch/preemption.h"
#include "dispatch/progress_recorder.h"
#include "dispatch/run_manager.h"
#include "dispatch/run_mover.h"
#include "dispatch/step_order.h"
#include "dispatch/straggler_copies.h"
#include "dispatch/task_lifecycle.h"
#include "dispatch/task_placer.h"
#include "dispatch/team_rates.h"
#include "dispatch/team_reports.h"
#include "dispatch/team_shares.h"
#include "dispatch/worker_roster.h"
#include "workflow/cell_state.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::dispatch {

/// Schedules the jobs of the cell while this host leads.
///
/// Pass workers, jobs and cancellations to it as they become known. It keeps the workers also while it does
/// not lead; start_leading() takes the jobs from the cell state. start_leading() and stop_leading() turn it
/// on and off. Call run() after each group of events; it sends the resulting orders. Write what
/// take_progress() returns to the log, then call progress_recorded(). Owned by `runtime::cell_control`; used
/// by the control thread only.
class dispatcher {
public:
    /// @param options timeouts, limits and the hooks that send orders.
    explicit dispatcher(dispatch_options options);
    ~dispatcher() = default;

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Starts to lead: takes over the workers first, then the tasks.
    /// @param epoch part of the fencing token of all orders.
    /// @param cell the state of the cell up to the record that made this host the leader.
    /// @param now the current time.
    /// @param list_complete_at the time until which live workers may be missing from the platform's list;
    /// used only if the log has no roster.
    void start_leading(core::epoch_id epoch, const workflow::cell_state& cell, core::steady_time now,
                       core::steady_time list_complete_at);

    /// Stops leading; sends no further orders.
    void stop_leading();

    /// @return whether this host leads.
    [[nodiscard]] bool leads() const { return this->state.leading; }

    /// Called when the log has proved that this host leads.
    /// @param asked_at when the proof was asked for: when the read or append was sent.
    void confirm_leadership(core::steady_time asked_at);

    /// Called when the log has been read to its end and its records have been passed on.
    /// @param asked_at when the read was sent.
    void on_log_read(core::steady_time asked_at) {
        this->state.log_read_at = std::max(this->state.log_read_at, asked_at);
    }

    /// Called when a worker is added to the platform's list or its entry changes.
    /// @param entry its entry.
    /// @param now the current time.
    void set_worker(const worker_entry& entry, core::steady_time now);

    /// Called when a worker is removed from the platform's list.
    void drop_worker(const core::worker_id& worker);

    /// Called when the platform's list has been read completely; drops all workers that are not in it.
    /// @param listed all workers in the list.
    /// @param now the current time.
    void set_worker_list(const std::vector<worker_entry>& listed, core::steady_time now);

    /// Called when a version of the configuration takes effect, also while this host does not lead.
    /// @param teams all teams of that version.
    void set_teams(const std::vector<tenancy::team_policy>& teams);

    /// Called when the acceptance of a job has been read from the log. Does nothing while this host does not
    /// lead.
    void add_job(const workflow::job_entry& entry);

    /// Called when the acceptance of a job has been stored but not yet read. The job is prepared; it is
    /// started once the acceptance has been read or the log has proved that this host led when it was stored.
    /// Does nothing while this host does not lead.
    /// @param entry the job.
    /// @param now the current time.
    void add_stored_job(const workflow::job_entry& entry, core::steady_time now);

    /// Called when the acceptance of a job that was added before has been read from the log.
    /// @param key the job; one that was not added by add_stored_job() is ignored.
    void on_stored_job_read(const workflow::job_key& key) { this->permit_starts(key); }

    /// Called when a job has been cancelled; stops its runs.
    void cancel_job(const workflow::job_key& key, core::steady_time now);

    void on_start_reply(const start_order& order, const order_reply& reply, core::steady_time now);
    void on_stop_reply(const stop_order& order, const order_reply& reply, core::steady_time now);
    void on_hold_reply(const hold_order& order, const hold_reply& reply, core::steady_time now);
    void on_advice_reply(const advice_order& order, core::steady_time asked_at, const advice_reply& reply,
                         core::steady_time now);

    /// @param count the limit of advice requests in flight.
    void set_max_advice_requests(std::uint32_t count) { this->advice.set_max_requests(count); }

    /// Sends the orders that are due and starts waiting tasks.
    /// @param now the current time.
    /// @param system the current wall-clock time, for recurring jobs.
    void run(core::steady_time now, core::system_time system);

    /// @return when run() has to be called at the latest.
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

    /// @param now the current time.
    /// @return the progress to record now, if any; no further batch until progress_recorded() or
    /// progress_rejected() is called.
    [[nodiscard]] std::optional<progress_batch> take_progress(core::steady_time now) {
        return this->recorder.take(now);
    }

    /// Called when a batch of progress is in the log.
    void progress_recorded(const progress_batch& batch) { this->recorder.recorded(batch); }

    /// Called when the log has rejected a record of a batch.
    void progress_rejected(const progress_batch& batch, core::steady_time now) {
        this->recorder.rejected(batch, now);
    }

    /// @param now the current time.
    /// @return the roster to record, if it has changed; no further one until roster_recorded() is called.
    [[nodiscard]] std::optional<workflow::roster_record> take_roster(core::steady_time now) {
        return this->used_workers.take_record(now);
    }

    /// Called when a roster is in the log.
    /// @param epoch the epoch in which take_roster() returned it.
    /// @param record the roster.
    void roster_recorded(core::epoch_id epoch, const workflow::roster_record& record);

    /// Explains where the tasks of a job would start if it was submitted now. Changes nothing.
    /// @param job the job.
    /// @param now the current time.
    /// @return the explanation.
    [[nodiscard]] placement_explanation explain(const workflow::job_accepted& job,
                                                core::steady_time now) const;

    /// @return whether a worker has refused an order since start_leading() because it had seen a higher
    /// fencing token than this host has for it.
    [[nodiscard]] bool fenced() const { return this->was_fenced; }

private:
    /// Permits the starts of a job of which the log has proved that this host led when it was stored.
    void permit_starts(const workflow::job_key& key);
    void open_job(const workflow::job_entry& entry);
    /// Counts a job towards the rate of its team.
    /// @return whether it is within that rate.
    bool count_towards_rate(const workflow::job_entry& entry);
    void open_due_occurrences(live_job& job, core::steady_time now, core::system_time system);
    void index_recorded_tasks(const live_occurrence& occurrence);
    void place_all(core::steady_time now);
    /// Starts tasks of a step, or its gang, if something has changed that may allow it.
    /// @param freed the workers that have gained room; empty: all are looked at.
    void place_if_due(live_step& step, const std::set<core::worker_id>& freed, bool settles,
                      core::steady_time now);
    void place_step(live_step& step, const std::set<core::worker_id>& freed, core::steady_time now);
    /// Also notes that the team is held by its cap, and that the step has to be placed again later.
    /// @return the standing of a waiting step; nothing if its team's cap leaves no room for it.
    [[nodiscard]] std::optional<team_standing> standing_of(live_step& step, const team_shares& shares);
    [[nodiscard]] start_check make_start_check() const;
    [[nodiscard]] start_check make_move_check() const;
    /// @return whether a task may be started: no successor takes its job for one that nobody has started, its
    /// team has room for it (for a gang, for all of its tasks), a successor leaves out the number of its run,
    /// and no run of it that a former leader started can be left.
    [[nodiscard]] bool may_start(const live_step& step, const live_task& task, core::steady_time now) const;
    /// @return whether a task may be moved, or started in the place to which it is moved.
    [[nodiscard]] bool may_move(const live_step& step, const live_task& task, core::steady_time now) const;
    /// @return whether no run of the task can be left that a former leader started.
    [[nodiscard]] bool former_runs_ended(const live_step& step, const live_task& task,
                                         core::steady_time now) const;
    [[nodiscard]] bool team_has_room(const live_step& step) const;
    /// @return how many of the waiting tasks of a step its team has room for.
    [[nodiscard]] std::size_t tasks_within_cap(const live_step& step) const;
    /// Counts a reply among the orders in flight.
    /// @return whether it belongs to an order of this epoch.
    bool count_reply(const order_target& target, const order_reply& reply, core::steady_time sent_at,
                     core::steady_time now);

    /// Notes that another host leads if a worker knows a higher token than this host has for it.
    /// @param fenced whether the worker has refused the order because of its token.
    void note_refusal(const order_target& target, bool fenced);
    /// Finds out from the clock in a reply whether the worker has restarted.
    /// @param sent_at when the order was sent.
    void compare_clock(const order_target& target, const order_reply& reply, core::steady_time sent_at,
                       core::steady_time now);

    dispatch_state state;
    run_manager runs;
    task_lifecycle lifecycle;
    lease_manager leases;
    order_retrier retrier;
    progress_recorder recorder;
    worker_roster used_workers;
    task_placer selector;
    advice_manager advice;
    gang_placer gangs;
    run_mover mover;
    preemption preemptor;
    straggler_copies copies;
    step_order order;
    inherited_runs former_runs;
    team_rates rates;
    team_reports reports;
    bool was_fenced = false;
    /// Whether tasks wait because too many orders are in flight.
    bool starts_wait_for_room = false;
    /// All workers of the roster in the log at start_leading() are settled (dispatch_state::is_settled()).
    bool predecessor_settled = false;
    /// All leases that a former leader may have extended have expired.
    bool inherited_leases_expired = false;
    core::steady_time placed_at;
};

} // namespace rattanmount::dispatch
