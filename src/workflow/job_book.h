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

/// A job as the log has it.
struct job_entry {
    job_accepted accepted;
    core::log_offset offset;   ///< Of the acceptance, or one before it where it was known ahead of reading.
    std::uint64_t arrival = 0; ///< Its place among the jobs that this host came to know, from 1.
    core::epoch_id epoch;      ///< That was in force when it was accepted.
    job_progress progress;
    bool cancelled = false;
    core::steady_time ended_at; ///< When it was first seen to be over; meaningful where it is.

    /// @return how far the job is, a cancellation included.
    [[nodiscard]] job_phase phase() const;
};

/// What a record changed.
struct book_change {
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
    job_key job; ///< For the kinds that concern a job.
};

/// What all hosts know of the cell's jobs, leader and members: the log, folded record by record.
///
/// A record that was seen before changes nothing, so reading a part of the log twice does no harm.
/// The control thread owns it.
class job_book {
public:
    using jobs_by_key = std::unordered_map<job_key, std::unique_ptr<job_entry>>;

    /// Takes the next record.
    /// @param record the record.
    /// @param offset where it stands.
    /// @param now the current time.
    /// @return what it changed.
    book_change apply(const cell_record& record, core::log_offset offset, core::steady_time now);

    /// @param key a job.
    /// @return the job, or null where it is not known.
    [[nodiscard]] const job_entry* find(const job_key& key) const;

    /// @return all jobs.
    [[nodiscard]] const jobs_by_key& jobs() const { return this->entries; }

    /// @param queue a queue.
    /// @return how many of its jobs wait for their first start; recurring ones are left out.
    [[nodiscard]] std::uint32_t pending(const queue_id& queue) const;

    /// @return the last record on the lead.
    [[nodiscard]] const leader_record& leader() const { return this->lead; }

    /// @return the workers on which a leader may have started tasks.
    [[nodiscard]] const std::set<core::worker_id>& roster() const { return this->roster_workers; }

    /// @return the hosts that have not left, by name.
    [[nodiscard]] const std::map<core::host_id, member_record>& members() const { return this->hosts; }

    /// @param now the current time.
    /// @param kept how long a job is kept after its end.
    /// @return jobs that may be forgotten.
    [[nodiscard]] std::vector<job_key> expired(core::steady_time now, core::milliseconds kept) const;

private:
    book_change apply_one(const job_accepted& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const job_cancelled& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const job_progress& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const job_closed& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const job_forgotten& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const leader_record& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const member_record& record, core::log_offset offset, core::steady_time now);
    book_change apply_one(const roster_record& record, core::log_offset offset, core::steady_time now);

    jobs_by_key entries;
    std::uint64_t arrivals = 0;
    struct early_cancellation {
        core::steady_time read_at;
    };
    std::map<job_key, early_cancellation> early_cancellations; ///< Read before the job that they concern.
    std::map<job_key, job_progress> early_progress;            ///< As above.
    leader_record lead;
    std::map<core::host_id, member_record> hosts;
    std::set<core::worker_id> roster_workers;
};

} // namespace rattanmount::workflow
