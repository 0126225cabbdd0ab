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

/// Who decides for a shard.
struct shard_owner {
    core::host_id host;
    core::incarnation_id incarnation;

    friend bool operator==(const shard_owner&, const shard_owner&) = default;
};

/// How a fold keeps its state; the same in all processes that read the stream.
struct shard_fold_options {
    /// Whether a job that has ended keeps its payload, and not only the hash that tells a repeat of its
    /// request. Without it compare requests with job_entry::matches().
    bool keep_ended_payloads = true;
};

/// The meaning of a shard's stream: its owner and its jobs after a prefix of the stream.
///
/// Apply each entry of the stream in the order of its offset, whoever wrote it. Every process that has
/// applied the same entries holds the same state. A batch counts only if its producer owns the shard in
/// the batch's epoch; claims count if they name the epoch in force. Owned by the control thread, which
/// alone may call it.
class shard_fold {
public:
    /// What became of a batch.
    enum class verdict {
        counted,    ///< It was written by the owner in its epoch, or its claim won.
        repeat,     ///< It, or a later batch of its producer, has counted before.
        stale,      ///< Its producer does not own the shard in the batch's epoch, or it is a snapshot that
                    ///< was taken at another offset than its own.
        lost_claim, ///< Another claim of the same epoch came first.
        unanchored  ///< Passed over: the state before it is not known.
    };

    /// An empty stream from offset 0.
    /// @param shard the shard.
    /// @param options how to keep the state.
    explicit shard_fold(core::shard_id shard, shard_fold_options options = {});

    /// Applies the next entry of the stream.
    /// @param offset its offset; one already applied folds to nothing, a gap makes the fold unanchored.
    /// @param batch what it holds, as decoded from the stream. A record that makes no sense in the state
    ///        is passed over.
    /// @return what became of it.
    verdict apply(core::log_offset offset, const record_batch& batch);

    /// @param result a verdict.
    /// @return whether the batch's records are part of the state, by this entry or an earlier copy.
    [[nodiscard]] static bool stands(verdict result);

    /// @return the shard.
    [[nodiscard]] core::shard_id shard() const { return this->id; }

    /// @return how many claims have won.
    [[nodiscard]] core::epoch_id epoch() const { return this->current_epoch; }

    /// @return the owner; empty before the first claim and after a release.
    [[nodiscard]] const std::optional<shard_owner>& owner() const { return this->current_owner; }

    /// @return all jobs that are not forgotten.
    [[nodiscard]] const std::unordered_map<core::job_id, job_entry>& jobs() const { return this->entries; }

    /// @param job a job.
    /// @return the job, or null where it is not known; valid until the next call of apply() or reset().
    [[nodiscard]] const job_entry* find(const core::job_id& job) const;

    /// @return whether the state is that of the stream: applied without a gap from offset 0 or from a
    ///         snapshot.
    [[nodiscard]] bool anchored() const { return this->known; }

    /// @return the first offset that is not applied.
    [[nodiscard]] core::log_offset next() const { return this->next_offset; }

    /// Forgets all and is unanchored until offset 0 or a snapshot is applied. Call it before reading anew
    /// from the oldest offset that the log keeps.
    void reset();

    /// @return the state in bytes for a snapshot; the same state gives the same bytes.
    [[nodiscard]] std::string state() const;

    /// @return about how many bytes of memory the state takes.
    [[nodiscard]] std::size_t state_bytes() const;

private:
    bool advance(core::log_offset offset, const record_batch& batch);
    bool load_snapshot(core::log_offset offset, const record_batch& batch);
    void load(const std::string& state);
    void clear();
    verdict apply_records(core::log_offset offset, const record_batch& batch);
    verdict apply_record(core::log_offset offset, const record_batch& batch, const record& item);
    bool claim(const record_batch& batch, const shard_claimed& claimed);
    bool owned_by(const record_batch& batch) const;
    job_entry* open_job(const core::job_id& job);
    task_entry* open_task(const core::attempt_id& attempt);

    void fold(const shard_claimed&) {}
    void fold(const shard_released&);
    void fold(const job_accepted& accepted);
    void fold(const task_started& started);
    void fold(const task_ended& ended);
    void fold(const job_ended& ended);
    void fold(const job_cancelled& cancelled);
    void fold(const job_moved& moved);
    void fold(const move_confirmed& confirmed);
    void fold(const job_forgotten& forgotten);
    void fold(const rack_assigned&) {}
    void fold(const note_proposed&) {}
    void fold(const snapshot_taken&) {}

    core::shard_id id;
    shard_fold_options options;
    core::epoch_id current_epoch;
    std::optional<shard_owner> current_owner;
    producer_table producers;
    std::unordered_map<core::job_id, job_entry> entries;
    core::log_offset next_offset;
    bool known = true;
};

} // namespace rattanmount::ledger
