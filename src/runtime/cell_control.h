#pragma once

#include "cell/leader_election.h"
#include "core/time.h"
#include "dispatch/dispatcher.h"
#include "runtime/log_writer.h"
#include "tenancy/caller.h"
#include "workflow/cell_state.h"
#include "workflow/queue_policy.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::runtime {

/// Consecutive records of the cell's log from one read.
struct record_batch {
    std::vector<std::pair<core::log_offset, workflow::cell_record>> records;
    bool caught_up = false;     ///< The read reached the end of the log.
    core::steady_time asked_at; ///< When the read was sent.
};

/// The outcome of a submission or a cancellation.
enum class request_outcome : std::uint8_t {
    stored,   ///< Durably stored in the log.
    refused,  ///< Not stored, and never will be.
    unknown,  ///< May or may not be stored; repeating the request resolves it.
    rejected, ///< Not stored, and a repeat would not be either: the log cannot hold it.
    conflict, ///< Not stored: another team has a job with this key.
    no_job,   ///< Not stored: for this caller there is no such job.
};

/// The side effects of cell_control: what it stores and whom it notifies. Each hook returns at once.
struct control_hooks {
    using write_callback = std::function<void(write_outcome)>;

    /// Stores records under the leader epoch of this host.
    std::function<void(core::epoch_id, const std::vector<workflow::cell_record>&, write_callback)>
        store_as_leader;
    /// Stores records that any host may append.
    std::function<void(const std::vector<workflow::cell_record>&, write_callback)> store;
    /// Called when this host becomes the leader (true) or stops being it (false).
    std::function<void(bool)> leadership_changed;
    /// Called with the incarnation of the leader whenever it changes; empty if there is none or it is
    /// unknown.
    std::function<void(const core::incarnation_id&)> leader_changed;
    /// Schedules a function on the control thread; may be called on any thread.
    std::function<void(std::function<void(core::steady_time)>)> post;
    /// Called with each configuration that takes effect.
    std::function<void(std::shared_ptr<const workflow::configuration>)> configuration_changed;
    /// Called with all members of the cell whenever they change.
    std::function<void(const std::vector<workflow::member_record>&)> members_changed;
};

struct cell_control_options {
    cell::leader_election_options election;
    dispatch::dispatch_options dispatch;
    control_hooks hooks;
    workflow::member_record self;
    core::milliseconds ended_job_retention{150000}; ///< How long an ended job stays queryable.
    /// If no read has reached the end of the log for this long, this host does not deny the existence of jobs
    /// that it does not know, accepts no requests and is not ready.
    core::milliseconds max_read_age{1500};
    /// The same, counted from the sending of that read: it may have been answered late, or have waited for
    /// the control thread, and shows what was in the log when it was sent.
    core::milliseconds max_answer_age{2200};
    /// Worker entries that expired during an outage of the log are complete again this long after it ends.
    core::milliseconds worker_relist_delay{2500};
    /// The leader steps down after it has reached the log only through peers for this long.
    core::milliseconds step_down_delay{600};
};

/// The control state of one host of the cell: the cell state, the leader election and the dispatcher, which
/// is active while this host is the leader.
///
/// Owned by host_process; all calls come from the control thread. The current time is a parameter of each
/// call that needs it.
class cell_control {
public:
    explicit cell_control(cell_control_options options);

    /// Applies records that were read from the cell's log.
    void on_records(const record_batch& batch, core::steady_time now);

    /// Applies acceptances and cancellations that are known to be stored, before they are read back from the
    /// log.
    void on_stored(const std::vector<workflow::cell_record>& records, core::steady_time now);

    /// Called when this host begins or ceases to reach the log only through peers. While it does, it does not
    /// claim leadership, and steps down if it is the leader.
    void on_log_relayed(bool relayed, core::steady_time now);

    /// Puts a version of the configuration into effect; ignores one that is not newer than the current one.
    /// @param version the version.
    /// @param waited the time from its arrival to this call, for the log line.
    void on_configuration(workflow::configuration version, core::milliseconds waited = core::milliseconds{0});

    /// Submits a job. A job that is already known counts as stored if it is of the same team or of none.
    /// @param record the acceptance to store.
    /// @param done called at most once with the outcome, on the control thread.
    void submit(workflow::job_accepted record, std::function<void(request_outcome)> done);

    /// Cancels a job. A job that is already over counts as cancelled.
    /// @param key the job.
    /// @param done called at most once with the outcome, on any thread.
    /// @param caller who cancels it.
    void cancel(const workflow::job_key& key, std::function<void(request_outcome)> done,
                const tenancy::caller& caller = {});

    /// Returns the phase of a job; empty if the job is not known or does not exist for the caller.
    [[nodiscard]] std::optional<workflow::job_phase> phase_of(const workflow::job_key& key,
                                                              const tenancy::caller& caller = {}) const;

    /// Returns the number of jobs of a queue that wait for their first start.
    [[nodiscard]] std::uint32_t pending(const workflow::queue_id& queue) const;

    /// Returns true if the log was read to its end within max_read_age, by a read that was sent within
    /// max_answer_age. Only then does an unknown job certainly not exist.
    [[nodiscard]] bool is_up_to_date(core::steady_time now) const { return now < this->up_to_date_until; }

    /// Returns the time since the log was last read to its end; 0 if it never was.
    [[nodiscard]] core::milliseconds time_since_caught_up(core::steady_time now) const {
        return this->caught_up_at ? std::chrono::duration_cast<core::milliseconds>(now - *this->caught_up_at)
                                  : core::milliseconds{0};
    }

    /// Returns true if this host can serve callers: it has a configuration, is up to date and is not leaving.
    [[nodiscard]] bool is_ready(core::steady_time now) const;

    /// Performs all actions that are due. Call it after each batch of events, and at next_due() at the
    /// latest.
    /// @param now the time of the decisions.
    /// @param system the wall-clock time, for jobs with due times.
    void run(core::steady_time now, core::system_time system);

    /// Returns the latest time for the next call of run().
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

    /// Resigns leadership for good and announces that this host leaves the cell. Called before the process
    /// ends.
    void leave(core::steady_time now);

    /// Explains what would become of a job that was submitted now.
    /// @param job the job, which is not recorded.
    /// @param now the current time.
    /// @return the explanation; of use only while this host leads.
    [[nodiscard]] dispatch::placement_explanation explain(const workflow::job_accepted& job,
                                                          core::steady_time now) const {
        return this->dispatcher.explain(job, now);
    }

    /// Returns the dispatcher, which takes the changes of workers and the replies to orders.
    [[nodiscard]] dispatch::dispatcher& job_dispatcher() { return this->dispatcher; }
    [[nodiscard]] bool leads() const { return this->election.leads(); }

    /// Returns the incarnation of the leader according to the last read; empty if there is none.
    [[nodiscard]] const core::incarnation_id& leader() const { return this->known_leader; }

private:
    void on_change(const workflow::state_change& change, core::steady_time now);
    [[nodiscard]] cell::claim_standing standing() const;
    void apply_leadership(core::steady_time now);
    void store_leader_record(const workflow::leader_record& record, core::steady_time now);
    void on_leader_record_written(const workflow::leader_record& record, write_outcome outcome,
                                  core::steady_time sent_at, core::steady_time now);
    void record_progress(core::steady_time now);
    /// Adds the teams of ended jobs to their records, because the acceptances are deleted.
    void add_teams(std::vector<workflow::cell_record>& records) const;
    void record_roster(core::steady_time now);
    void forget_expired_jobs(core::steady_time now);
    void announce_membership();
    void report_leader();
    void step_down_if_relayed(core::steady_time now);

    cell_control_options options;
    workflow::cell_state book;
    cell::leader_election election;
    dispatch::dispatcher dispatcher;
    std::shared_ptr<const workflow::configuration> config;
    core::log_offset last_offset; ///< The highest offset read so far.
    std::optional<core::steady_time> caught_up_at;
    core::steady_time up_to_date_until;
    /// When reads of the log succeeded for the first time, or again after an outage.
    core::steady_time log_available_since;
    core::steady_time last_forget_at;
    core::incarnation_id known_leader;
    std::optional<core::steady_time> relayed_since; ///< Since when the log is reached only through peers.
    bool announced = false;
    bool leaving = false;
};

} // namespace rattanmount::runtime
