#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/outcome.h"
#include "core/time.h"
#include "release/release_note.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanmount::ledger {

/// Claims a shard. It wins if `previous` is still the shard's epoch when the record is reached; the
/// shard's epoch is then previous + 1 and its owner the batch's producer.
struct shard_claimed {
    core::epoch_id previous;
    core::host_id host;
    friend bool operator==(const shard_claimed&, const shard_claimed&) = default;
};

/// The owner gives up the shard, having started its last task.
struct shard_released {
    friend bool operator==(const shard_released&, const shard_released&) = default;
};

/// A job is accepted: from here on it is this cell's duty.
struct job_accepted {
    core::job_spec spec;
    core::system_time at;
    friend bool operator==(const job_accepted&, const job_accepted&) = default;
};

/// An attempt is, or is about to be, started. For work that is not idempotent it precedes the send.
struct task_started {
    core::attempt_id attempt;
    std::string place; ///< The worker's or executor's name.
    core::system_time at;
    friend bool operator==(const task_started&, const task_started&) = default;
};

/// An attempt is over.
struct task_ended {
    core::attempt_id attempt;
    core::attempt_end end = core::attempt_end::finished;
    std::string reason;
    core::system_time at;
    friend bool operator==(const task_ended&, const task_ended&) = default;
};

/// A job is over for good.
struct job_ended {
    core::job_id job;
    core::outcome result = core::outcome::completed;
    std::string reason;
    core::system_time at;
    friend bool operator==(const job_ended&, const job_ended&) = default;
};

/// A caller asked for the job's end. Tasks that wait never start; tasks that run are stopped.
struct job_cancelled {
    core::job_id job;
    core::system_time at;
    friend bool operator==(const job_cancelled&, const job_cancelled&) = default;
};

/// A job that has never been started is handed to another shard, which becomes its owner.
struct job_moved {
    core::job_id job;
    core::shard_id to;
    friend bool operator==(const job_moved&, const job_moved&) = default;
};

/// The other shard has recorded the job that was moved to it.
struct move_confirmed {
    core::job_id job;
    friend bool operator==(const move_confirmed&, const move_confirmed&) = default;
};

/// An ended job has been kept as long as promised and is forgotten.
struct job_forgotten {
    core::job_id job;
    friend bool operator==(const job_forgotten&, const job_forgotten&) = default;
};

/// A rack is given to a shard; the first record for a rack counts.
struct rack_assigned {
    core::rack_id rack;
    core::shard_id shard;
    friend bool operator==(const rack_assigned&, const rack_assigned&) = default;
};

/// A release note is handed in; the fold of the configuration stream decides whether it wins.
struct note_proposed {
    release::release_note note;
    core::system_time at;
    friend bool operator==(const note_proposed&, const note_proposed&) = default;
};

/// The whole state of the stream's fold just before this record, as the fold wrote it.
///
/// It counts only at the offset that it names: any other entry that came in between may have changed the
/// state, and the writer may have lost the shard by it.
struct snapshot_taken {
    std::string state;
    core::log_offset at; ///< Everything before this offset is in the state.
    friend bool operator==(const snapshot_taken&, const snapshot_taken&) = default;
};

/// Everything that a record can say.
using record = std::variant<shard_claimed, shard_released, job_accepted, task_started, task_ended, job_ended,
                            job_cancelled, job_moved, move_confirmed, job_forgotten, rack_assigned,
                            note_proposed, snapshot_taken>;

/// What one append carries: the records of one producer, in order. The unit that is repeated.
struct record_batch {
    core::incarnation_id producer;
    core::sequence_number sequence; ///< Counts the producer's batches in this stream, from 1, no gaps.
    core::epoch_id epoch;           ///< The producer's epoch of the shard; 0 in the configuration stream.
    std::vector<record> records;
    friend bool operator==(const record_batch&, const record_batch&) = default;
};

} // namespace rattanmount::ledger
