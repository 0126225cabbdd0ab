#pragma once

#include "core/ids.h"
#include "ledger/job_entry.h"
#include "ledger/producer_table.h"
#include "ledger/records.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanmount::ledger {

/// The process that owns a shard.
struct shard_owner {
    core::host_id host;
    core::incarnation_id incarnation;

    friend bool operator==(const shard_owner&, const shard_owner&) = default;
};

/// Options of a shard's state machine. Must be the same in all processes that read the stream.
struct shard_state_machine_options {
    /// Whether an ended job keeps its payload. If not, only the payload's hash is kept, to recognise a retry
    /// of the request; compare requests with job_entry::matches() then.
    bool keep_ended_payloads = true;
};

/// Replicated state machine of a shard's stream: the shard's owner and its jobs.
///
/// Apply every entry of the stream in offset order, whoever wrote it. All processes that have applied the
/// same entries hold the same state. The epoch is a fencing token: a batch is applied only if its producer
/// owns the shard in the batch's epoch, and a claim only if it names the current epoch. Owned by the control
/// thread, which alone may call it.
class shard_state_machine {
public:
    /// Result of applying a batch. Its records are decided one by one; the result is that of the first record
    /// that was not applied, or `applied` if there is none.
    enum class apply_result {
        applied,      ///< Written by the owner in its epoch, or a claim that succeeded.
        duplicate,    ///< This batch, or a later one of its producer, was applied before.
        stale,        ///< Ignored: its producer does not own the shard in the batch's epoch, or it is a
                      ///< snapshot that was not taken at its own offset.
        lost_claim,   ///< Ignored: another claim for the same epoch came first.
        no_base_state ///< Ignored: the state before this batch is not known.
    };

    /// Creates the state of an empty stream; the next entry is offset 0.
    explicit shard_state_machine(core::shard_id shard, shard_state_machine_options options = {});

    /// Applies the next entry of the stream.
    /// @param offset its offset. An offset that was already applied changes nothing; after a gap in the
    ///        offsets the base state is lost, see has_base_state().
    /// @param batch the decoded entry. A record that is not valid in the current state is ignored.
    apply_result apply(core::log_offset offset, const record_batch& batch);

    /// @return whether the batch's records are part of the state, from this entry or from an earlier copy of
    ///         it.
    [[nodiscard]] static bool is_applied(apply_result result);

    [[nodiscard]] core::shard_id shard() const { return this->id; }

    /// @return the current epoch: the number of successful claims.
    [[nodiscard]] core::epoch_id epoch() const { return this->current_epoch; }

    /// @return the owner; empty before the first claim and after a release.
    [[nodiscard]] const std::optional<shard_owner>& owner() const { return this->current_owner; }

    /// @return all jobs that have not been deleted by a job_forgotten record.
    [[nodiscard]] const std::unordered_map<core::job_id, job_entry>& jobs() const { return this->entries; }

    /// @return the job, or null if it is not known. Valid until the next call of apply() or reset().
    [[nodiscard]] const job_entry* find(const core::job_id& job) const;

    /// @return whether the state is complete: it was applied without gaps, starting at offset 0 or at a
    ///         snapshot.
    [[nodiscard]] bool has_base_state() const { return this->base_known; }

    /// @return the first offset that has not been applied.
    [[nodiscard]] core::log_offset next() const { return this->next_offset; }

    /// Clears the state. There is no base state until offset 0 or a snapshot is applied. Call this before
    /// reading the stream again from the oldest offset that the log keeps.
    void reset();

    /// @return the encoded state, for a snapshot. Deterministic: equal states give equal bytes.
    [[nodiscard]] std::string state() const;

    /// @return an estimate of the memory used by the state, in bytes.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    bool advance(core::log_offset offset, const record_batch& batch);
    bool load_snapshot(core::log_offset offset, const record_batch& batch);
    void load(const std::string& state);
    void clear();
    apply_result apply_records(core::log_offset offset, const record_batch& batch);
    apply_result apply_record(core::log_offset offset, const record_batch& batch, const record& item);
    bool claim(const record_batch& batch, const shard_claimed& claimed);
    bool owned_by(const record_batch& batch) const;
    job_entry* open_job(const core::job_id& job);
    task_entry* open_task(const core::attempt_id& attempt);

    void handle(const shard_claimed&) {}
    void handle(const shard_released&);
    void handle(const job_accepted& accepted);
    void handle(const task_started& started);
    void handle(const task_ended& ended);
    void handle(const job_ended& ended);
    void handle(const job_cancelled& cancelled);
    void handle(const job_moved& moved);
    void handle(const move_confirmed& confirmed);
    void handle(const job_forgotten& forgotten);
    void handle(const rack_assigned&) {}
    void handle(const note_proposed&) {}
    void handle(const snapshot_taken&) {}

    core::shard_id id;
    shard_state_machine_options options;
    core::epoch_id current_epoch;
    std::optional<shard_owner> current_owner;
    producer_table producers;
    std::unordered_map<core::job_id, job_entry> entries;
    core::log_offset next_offset;
    bool base_known = true;
};

} // namespace rattanmount::ledger
