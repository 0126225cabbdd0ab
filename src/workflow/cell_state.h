#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "workflow/records.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace rattanmount::workflow {

/// The last record of a part of a job's progress.
struct recorded_part {
    std::vector<step_progress> steps; ///< Empty if the record no longer counts but is still in the log.
    core::epoch_id epoch;             ///< In which it was made; 0 if a former version made the record.
};

/// State of a job according to the log.
struct job_entry {
    job_accepted accepted;
    /// Offset of the acceptance. It is lower if this host knew of the job before it read the acceptance from
    /// the log.
    core::log_offset offset;
    std::uint64_t arrival = 0;    ///< Position in the order in which this host learned of its jobs, from 1.
    core::steady_time learned_at; ///< When this host learned of it.
    core::epoch_id epoch;         ///< Epoch in which it was accepted.
    job_progress progress;
    std::map<part_id, recorded_part> parts; ///< The parts that have records of their own.
    bool cancelled = false;
    core::steady_time ended_at; ///< When this host first saw that it had ended; valid only if it has.

    /// @return its phase; `cancelled` if it was cancelled before it ended.
    [[nodiscard]] job_phase phase() const;

    /// @return the parts that have records of their own in the log, also those that no longer count.
    [[nodiscard]] std::vector<part_id> recorded_parts() const;
};

/// Effect of a record on the state of the cell.
struct state_change {
    enum class kind : std::uint8_t {
        nothing,
        accepted,
        cancelled,
        progress,
        forgotten,
        leader,
        member,
    };
    kind what = kind::nothing;
    job_key job; ///< Set if the kind concerns a job.
};

/// The replicated state of the cell: its jobs, leader, members and roster, built by applying the records of
/// the log in order.
///
/// Applying a record is idempotent, so part of the log may be read twice.
/// Owned by `runtime::cell_control`; used by the control thread only.
class cell_state {
public:
    using jobs_by_key = std::unordered_map<job_key, std::unique_ptr<job_entry>>;

    /// Applies the next record.
    /// @param record the record.
    /// @param offset its offset in the log.
    /// @param now the current time.
    /// @return its effect.
    state_change apply(const cell_record& record, core::log_offset offset, core::steady_time now);

    /// @param key a job.
    /// @return the job, or null if it is unknown.
    [[nodiscard]] const job_entry* find(const job_key& key) const;

    /// @return all jobs.
    [[nodiscard]] const jobs_by_key& jobs() const { return this->entries; }

    /// @param queue a queue.
    /// @return the number of its jobs that wait for their first start; recurring jobs are not counted.
    [[nodiscard]] std::uint32_t pending(const queue_id& queue) const;

    /// @return the last leader record.
    [[nodiscard]] const leader_record& leader() const { return this->lead; }

    /// @return the workers on which a leader may have started tasks.
    [[nodiscard]] const std::set<core::worker_id>& roster() const { return this->roster_workers; }

    /// @param epoch an epoch.
    /// @return the workers that the last roster of the epoch names as unreached. The time of each is when
    /// this host read the first of the consecutive rosters that name it. Leases that were granted there after
    /// that time can only come from leaders that were already fenced and still used earlier proofs.
    [[nodiscard]] std::map<core::worker_id, core::steady_time> unreached_in(core::epoch_id epoch) const {
        return epoch == this->roster_epoch ? this->unreached_since
                                           : std::map<core::worker_id, core::steady_time>{};
    }

    /// @return the incarnations of the workers in the roster, as far as it names them.
    [[nodiscard]] const std::map<core::worker_id, worker_incarnation_id>& roster_incarnations() const {
        return this->incarnations;
    }

    /// @return the workers that may hold a lease that was meant for an earlier incarnation, with the time at
    /// which this host read the first of the consecutive rosters that say so.
    [[nodiscard]] const std::map<core::worker_id, core::steady_time>& restarted() const {
        return this->restarted_since;
    }

    /// @return the hosts that have not left, by name.
    [[nodiscard]] const std::map<core::host_id, member_record>& members() const { return this->hosts; }

    /// @param now the current time.
    /// @param kept how long a job is kept after its end.
    /// @return jobs, and cancellations of unknown jobs, whose retention time has passed.
    [[nodiscard]] std::vector<job_key> expired(core::steady_time now, core::milliseconds kept) const;

private:
    state_change apply_one(const job_accepted& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const job_cancelled& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const job_progress& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const part_progress& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const job_closed& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const job_forgotten& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const leader_record& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const member_record& record, core::log_offset offset, core::steady_time now);
    state_change apply_one(const roster_record& record, core::log_offset offset, core::steady_time now);

    jobs_by_key entries;
    std::uint64_t arrivals = 0;
    struct early_cancellation {
        core::steady_time read_at;
        std::set<core::team_id> teams; ///< The teams that have cancelled.
    };
    std::map<job_key, early_cancellation> early_cancellations; ///< Cancellations read before their jobs.
    struct early_records {
        std::optional<job_progress> job;
        std::map<part_id, part_progress> parts;
    };
    std::map<job_key, early_records> early_progress; ///< Progress read before its job.
    leader_record lead;
    std::map<core::host_id, member_record> hosts;
    std::set<core::worker_id> roster_workers;
    core::epoch_id roster_epoch; ///< In which the roster was recorded, if it names unreached workers.
    /// Since when consecutive rosters, of consecutive epochs, name them as unreached.
    std::map<core::worker_id, core::steady_time> unreached_since;
    std::map<core::worker_id, worker_incarnation_id> incarnations; ///< Of the workers in the roster.
    /// Since when consecutive rosters name their incarnations as restarted.
    std::map<core::worker_id, core::steady_time> restarted_since;
};

} // namespace rattanmount::workflow
