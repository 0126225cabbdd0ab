#pragma once

#include "core/time.h"
#include "dispatch/advice_manager.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/lease_manager.h"
#include "dispatch/run_manager.h"
#include "dispatch/task_lifecycle.h"
#include "dispatch/worker_roster.h"
#include "dispatch/worker_selector.h"
#include "workflow/job_book.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::dispatch {

/// Progress that is being recorded, with what it settles.
struct progress_batch {
    core::epoch_id epoch; ///< In which it was decided.
    std::vector<workflow::job_progress> jobs;
    std::vector<workflow::job_key> closed; ///< Of whose ended jobs only the end is kept from now on.
    std::map<core::worker_id, std::pair<life_id, std::uint64_t>> ends; ///< What each worker may forget.
};

/// Drives the cell's jobs while this host leads it.
///
/// Tell it of workers, jobs and cancellations as they become known, also while it does not lead; lead() and
/// yield() turn it on and off. After each group of events call run(), which gives the orders that follow.
/// Take progress() to the log and report it with recorded(). The control thread owns it.
class dispatcher {
public:
    /// @param options times, limits and the hooks that reach the workers.
    explicit dispatcher(dispatch_options options);
    ~dispatcher() = default;

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Starts to lead: takes over all workers, then the tasks.
    /// @param epoch the token for all orders.
    /// @param book what the log holds up to the claim.
    /// @param now the time.
    /// @param list_complete_at until when workers that are alive may be missing from the platform's list.
    void lead(core::epoch_id epoch, const workflow::job_book& book, core::steady_time now,
              core::steady_time list_complete_at);

    /// Stops to lead: gives no more orders.
    void yield();

    /// @return whether it leads.
    [[nodiscard]] bool leads() const { return this->state.leading; }

    /// The log has shown that this host still leads.
    void confirmed(core::steady_time now) { this->state.leadership_confirmed_at = now; }

    /// A worker is in the platform's list, or its entry has changed.
    void set_worker(const worker_entry& entry);

    /// A worker has left the platform's list.
    void drop_worker(const core::worker_id& worker);

    /// The platform's list has been read in full: workers that were not named since are not in it.
    /// @param listed the workers in it.
    void set_worker_list(const std::vector<worker_entry>& listed);

    /// A job was accepted.
    void add_job(const workflow::job_entry& entry);

    /// A job is to be stopped.
    void cancel_job(const workflow::job_key& key, core::steady_time now);

    void on_start_reply(const start_order& order, const order_reply& reply, core::steady_time now);
    void on_stop_reply(const stop_order& order, const order_reply& reply, core::steady_time now);
    void on_hold_reply(const hold_order& order, const hold_reply& reply, core::steady_time now);
    void on_advice_reply(const advice_order& order, core::steady_time asked_at, const advice_reply& reply,
                         core::steady_time now);

    /// @param lines how many questions for advice may be out at a time.
    void set_advice_lines(std::uint32_t lines) { this->advice.set_max_requests(lines); }

    /// Gives the orders that are due.
    /// @param now the time of the decisions.
    /// @param system the time of the calendar, for jobs with due times.
    void run(core::steady_time now, core::system_time system);

    /// @return when run() is to be called at the latest.
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

    /// @param now the time.
    /// @return the progress to record now, or nothing; one batch is out at a time.
    [[nodiscard]] std::optional<progress_batch> progress(core::steady_time now);

    /// A batch of progress is in the log.
    void recorded(const progress_batch& batch);

    /// @param now the time.
    /// @return the workers on which tasks may be started, where they are to be recorded; one record is out at
    /// a time.
    [[nodiscard]] std::optional<workflow::roster_record> roster(core::steady_time now) {
        return this->used_workers.take_record(now);
    }

    /// A roster is in the log.
    /// @param epoch in which it was given.
    /// @param record the roster.
    void roster_recorded(core::epoch_id epoch, const workflow::roster_record& record);

    /// @return whether a worker has refused an order for a higher token since lead().
    [[nodiscard]] bool fenced() const { return this->was_fenced; }

private:
    void open_job(const workflow::job_entry& entry);
    void open_due_occurrences(live_job& job, core::steady_time now, core::system_time system);
    void place_all(core::steady_time now);
    void place_step(live_step& step, const std::set<core::worker_id>& freed, core::steady_time now);
    void place_gang(live_step& step, core::steady_time now);
    [[nodiscard]] bool may_start(const live_step& step, const live_task& task, core::steady_time now) const;
    [[nodiscard]] bool has_settled_predecessor(core::steady_time now) const;
    void retry_orders(core::steady_time now);
    void retry_order(live_step& step, std::uint32_t index, live_run& run, core::steady_time now);
    void forget_over_jobs();

    dispatch_state state;
    run_manager runs;
    task_lifecycle lifecycle;
    lease_manager leases;
    worker_roster used_workers;
    worker_selector selector;
    advice_manager advice;
    bool was_fenced = false;
    bool progress_in_flight = false;
    bool predecessor_settled =
        false; ///< All workers of the time of lead() have answered or lost their leases.
    bool inherited_leases_expired = false; ///< What a former leader may have started has surely ended.
    core::steady_time recorded_at;
    core::steady_time retried_at;
    core::steady_time placed_at;
};

} // namespace rattanmount::dispatch
