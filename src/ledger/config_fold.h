#pragma once

#include "core/ids.h"
#include "ledger/producer_table.h"
#include "ledger/records.h"
#include "release/policy_book.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanmount::ledger {

/// The meaning of the configuration stream: policies in force, results of release notes, racks of shards.
///
/// Apply each entry of the stream in the order of its offset, whoever wrote it: the stream has no owner.
/// Every process that has applied the same entries holds the same state, so a note's result may be acted
/// on as soon as it is folded. Owned by the control thread, which alone may call it.
class config_fold {
public:
    /// What became of a batch.
    enum class verdict {
        counted,
        repeat,    ///< It, or a later batch of its producer, has counted before.
        missed,    ///< A snapshot that was taken at another offset than its own.
        unanchored ///< Passed over: the state before it is not known.
    };

    /// How many results of notes are kept; older ones are forgotten.
    static constexpr std::size_t kept_notes = 2000;

    /// An empty stream from offset 0.
    config_fold();

    /// Applies the next entry of the stream.
    /// @param offset its offset; one already applied folds to nothing, a gap makes the fold unanchored.
    /// @param batch what it holds, as decoded from the stream.
    /// @return what became of it.
    verdict apply(core::log_offset offset, const record_batch& batch);

    /// @param result a verdict.
    /// @return whether the batch's records are part of the state, by this entry or an earlier copy.
    [[nodiscard]] static bool stands(verdict result);

    /// @return the pools and teams in force.
    [[nodiscard]] const release::policy_book& policies() const { return this->book; }

    /// @param rack a rack.
    /// @return its shard, or empty where no record has given it to one.
    [[nodiscard]] std::optional<core::shard_id> shard_of(const core::rack_id& rack) const;

    /// @return all racks that were given to a shard.
    [[nodiscard]] const std::map<core::rack_id, core::shard_id>& racks() const { return this->rack_shards; }

    /// @param id a note's id.
    /// @return the result of the first note of that id, or null where none is kept.
    [[nodiscard]] const release::note_result* note(const core::note_id& id) const;

    /// @param id a note's id.
    /// @return the offset of the first note of that id; 0 where none is kept.
    [[nodiscard]] core::log_offset offset_of(const core::note_id& id) const;

    /// The answer to an operator who hands in a note, perhaps not for the first time.
    /// @param note the note.
    /// @return its result; a refusal where another note stands under its id; empty where none stands.
    [[nodiscard]] std::optional<release::note_result> answer_to(const release::release_note& note) const;

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

    /// Takes over a state that a peer sent.
    /// @param state what state() of the peer's fold gave.
    /// @param next the first offset that the peer had not applied.
    /// @throws core::invalid_argument where the bytes are not a state; the fold is then unchanged.
    void load(const std::string& state, core::log_offset next);

    /// @return about how many bytes of memory the state takes.
    [[nodiscard]] std::size_t state_bytes() const;

private:
    struct kept_note {
        release::note_result result;
        core::log_offset offset;
        std::uint64_t fingerprint = 0;
    };

    bool advance(core::log_offset offset, const record_batch& batch);
    void clear();
    void read_state(const std::string& state);
    void fold(core::log_offset offset, const record& item);
    void fold_note(core::log_offset offset, const release::release_note& note);
    void keep(const core::note_id& id, kept_note note);

    release::policy_book book;
    std::map<core::rack_id, core::shard_id> rack_shards;
    std::unordered_map<core::note_id, kept_note> notes;
    std::deque<core::note_id> note_order; ///< From the oldest to the newest.
    producer_table producers;
    core::log_offset next_offset;
    bool known = true;
};

} // namespace rattanmount::ledger
