#pragma once

#include "cell/leader_election.h"
#include "core/time.h"
#include "dispatch/dispatcher.h"
#include "runtime/log_writer.h"
#include "workflow/job_book.h"
#include "workflow/queue_policy.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::runtime {

/// Records of the cell's log as they were read.
struct record_group {
    std::vector<std::pair<core::log_offset, workflow::cell_record>> records;
    bool caught_up = false; ///< There was nothing more.
};

/// What became of a submission or a cancellation.
enum class request_fate : std::uint8_t {
    stored,    ///< It holds for good.
    refused,   ///< It has no effect and never will.
    unsettled, ///< It may or may not hold; a repeat finds out.
};

/// What the control state stores and follows, and whom it tells. Each hook returns at once.
struct control_hooks {
    using settled = std::function<void(write_fate)>;

    /// Stores records under the lead of this host.
    std::function<void(core::epoch_id, const std::vector<workflow::cell_record>&, settled)> store_as_leader;
    /// Stores records that need no lead.
    std::function<void(const std::vector<workflow::cell_record>&, settled)> store;
    /// Told that this host begins or ends to lead.
    std::function<void(bool)> lead_changed;
    /// Told who leads, whenever that changes; empty: nobody, or it is not known.
    std::function<void(const core::incarnation_id&)> leader_known;
    /// Runs a function later on the control thread, from any thread.
    std::function<void(std::function<void(core::steady_time)>)> post;
    /// Told of each configuration that comes in force.
    std::function<void(std::shared_ptr<const workflow::configuration>)> configured;
    /// Tells the members of the cell, whenever they change.
    std::function<void(const std::vector<workflow::member_record>&)> members_changed;
};

struct cell_control_options {
    cell::leader_election_options election;
    dispatch::dispatch_options dispatch;
    control_hooks hooks;
    workflow::member_record self;
    core::milliseconds keep_ended{150000}; ///< How long a job can be asked for after its end.
    /// Without an answered read for so long, this host tells nothing of jobs that it does not know, takes no
    /// requests and is not ready.
    core::milliseconds reachable_limit{1500};
    /// Entries of workers that lapsed while the log was away are back so long after its return.
    core::milliseconds relist_time{2500};
    /// A leader that the log has turned away for so long, while peers reach it, hands the lead on.
    core::milliseconds hand_over_after{600};
};

/// The control state of one host of the cell: the job book, the election and, while it leads, the dispatcher.
///
/// Owned by the process; the control thread calls everything. Time goes in with each call.
class cell_control {
public:
    explicit cell_control(cell_control_options options);

    /// Takes records that were read from the cell's log.
    void on_records(const record_group& group, core::steady_time now);

    /// Takes acceptances and cancellations that are surely in the log, ahead of reading them there.
    void on_stored(const std::vector<workflow::cell_record>& records, core::steady_time now);

    /// The log turns this host away while peers reach it, or does so no more. A host that is turned away
    /// claims no lead, and hands the one it has on.
    void on_log_relayed(bool relayed, core::steady_time now);

    /// Takes a version of the configuration; an older one than is in force changes nothing.
    void on_configuration(workflow::configuration version);

    /// Hands a job in.
    /// @param request the job.
    /// @param policy of its queue.
    /// @param accepted_at the time of the calendar.
    /// @param done told when it is settled; by any thread.
    void submit(workflow::job_request request, const workflow::queue_policy& policy,
                core::system_time accepted_at, std::function<void(request_fate)> done);

    /// Cancels a job.
    /// @param key the job.
    /// @param done told when it is settled; by any thread.
    void cancel(const workflow::job_key& key, std::function<void(request_fate)> done);

    /// @param key a job.
    /// @return how far it is; empty where it is not known.
    [[nodiscard]] std::optional<workflow::job_phase> phase_of(const workflow::job_key& key) const;

    /// @param queue a queue.
    /// @return how many of its jobs wait for their first start.
    [[nodiscard]] std::uint32_t pending(const workflow::queue_id& queue) const;

    /// @param now the time.
    /// @return whether the log was read to its end lately, so that a job that is not known is none.
    [[nodiscard]] bool knows_jobs(core::steady_time now) const {
        return this->caught_up_at && now < *this->caught_up_at + this->options.reachable_limit;
    }

    /// @param now the time.
    /// @return how long the log has not answered; 0 where it was never read.
    [[nodiscard]] core::milliseconds log_away(core::steady_time now) const {
        return this->caught_up_at ? std::chrono::duration_cast<core::milliseconds>(now - *this->caught_up_at)
                                  : core::milliseconds{0};
    }

    /// @param now the time.
    /// @return whether this host can serve callers.
    [[nodiscard]] bool ready(core::steady_time now) const;

    /// Does what is due. Call it after each group of events and at next_due().
    void run(core::steady_time now, core::system_time system);

    /// @return when run() is to be called at the latest.
    [[nodiscard]] core::steady_time next_due(core::steady_time now) const;

    /// Gives the lead up and claims it no more; the process is about to end.
    void leave(core::steady_time now);

    /// @return the decisions on jobs, to be told of workers and of replies to orders.
    [[nodiscard]] dispatch::dispatcher& work() { return this->dispatcher; }
    [[nodiscard]] bool leads() const { return this->election.leads(); }

    /// @return the life of the host that leads, as last read; empty where nobody does.
    [[nodiscard]] const core::incarnation_id& leader() const { return this->told_leader; }

private:
    void on_change(const workflow::book_change& change, core::steady_time now);
    [[nodiscard]] cell::claim_standing standing() const;
    void follow_lead(core::steady_time now);
    void store_lead(const workflow::leader_record& record);
    void lead_written(const workflow::leader_record& record, write_fate fate, core::steady_time now);
    void record_progress(core::steady_time now);
    void record_roster(core::steady_time now);
    void forget_old_jobs(core::steady_time now);
    void announce();
    void tell_leader();
    void hand_over_if_relayed(core::steady_time now);

    cell_control_options options;
    workflow::job_book book;
    cell::leader_election election;
    dispatch::dispatcher dispatcher;
    std::shared_ptr<const workflow::configuration> config;
    core::log_offset last_offset; ///< The highest that was read.
    std::optional<core::steady_time> caught_up_at;
    core::steady_time log_returned_at; ///< When the log answered first, or again after a while without.
    core::steady_time forgot_at;
    core::incarnation_id told_leader;
    std::optional<core::steady_time> relayed_since; ///< The log turns this host away, and peers help.
    bool announced = false;
    bool leaving = false;
};

} // namespace rattanmount::runtime
