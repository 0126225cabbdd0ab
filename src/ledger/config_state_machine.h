#pragma once

#include "core/ids.h"
#include "ledger/producer_table.h"
#include "ledger/records.h"
#include "release/policy_registry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanmount::ledger {

/// Replicated state machine of the configuration stream: policies in force, results of release notes, and
/// the assignment of racks to shards.
///
/// Apply every entry of the stream in offset order, whoever wrote it: the stream has no owner. All processes
/// that have applied the same entries hold the same state, so the result of a note can be acted on as soon
/// as the note is applied. Owned by the control thread, which alone may call it.
class config_state_machine {
public:
    /// Result of applying a batch.
    enum class apply_result {
        applied,
        duplicate,          ///< This batch, or a later one of its producer, was applied before.
        misplaced_snapshot, ///< Ignored: a snapshot that was not taken at its own offset.
        no_base_state       ///< Ignored: the state before this batch is not known.
    };

    /// Number of note results that are kept; older ones are dropped.
    static constexpr std::size_t max_notes = 2000;

    /// Creates the state of an empty stream; the next entry is offset 0.
    config_state_machine();

    /// Applies the next entry of the stream.
    /// @param offset its offset. An offset that was already applied changes nothing; after a gap in the
    ///        offsets the base state is lost, see has_base_state().
    /// @param batch the decoded entry.
    apply_result apply(core::log_offset offset, const record_batch& batch);

    /// @return whether the batch's records are part of the state, from this entry or from an earlier copy of
    ///         it.
    [[nodiscard]] static bool is_applied(apply_result result);

    /// @return the pools and teams in force.
    [[nodiscard]] const release::policy_registry& policies() const { return this->registry; }

    /// @return the shard that a rack is assigned to; empty if it is not assigned.
    [[nodiscard]] std::optional<core::shard_id> shard_of(const core::rack_id& rack) const;

    /// @return the shard of every assigned rack.
    [[nodiscard]] const std::map<core::rack_id, core::shard_id>& racks() const { return this->rack_shards; }

    /// @return the result of the first note with that id; null if none is kept.
    [[nodiscard]] const release::note_result* find_result(const core::note_id& id) const;

    /// @return the offset of the first note with that id; 0 if none is kept.
    [[nodiscard]] core::log_offset offset_of(const core::note_id& id) const;

    /// Returns the result of a note that an operator submits, possibly repeatedly.
    /// @return the kept result; a refusal if a different note was submitted under the same id; empty if no
    ///         result is kept for the id.
    [[nodiscard]] std::optional<release::note_result> result_for(const release::release_note& note) const;

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

    /// Replaces the state with one received from a peer.
    /// @param state the result of state() on the peer.
    /// @param next the first offset that the peer has not applied.
    /// @throws core::invalid_argument if the bytes cannot be decoded; nothing is changed then.
    void load(const std::string& state, core::log_offset next);

    /// @return an estimate of the memory used by the state, in bytes.
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    struct stored_note {
        release::note_result result;
        core::log_offset offset;
        std::uint64_t fingerprint = 0;
    };

    bool advance(core::log_offset offset, const record_batch& batch);
    void clear();
    void read_state(const std::string& state);
    void handle(core::log_offset offset, const record& item);
    void handle_note(core::log_offset offset, const release::release_note& note);
    void store(const core::note_id& id, stored_note note);

    release::policy_registry registry;
    std::map<core::rack_id, core::shard_id> rack_shards;
    std::unordered_map<core::note_id, stored_note> notes;
    std::deque<core::note_id> note_order; ///< Oldest first.
    producer_table producers;
    core::log_offset next_offset;
    bool base_known = true;
};

} // namespace rattanmount::ledger
