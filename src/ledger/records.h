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

/// Claims a shard (compare-and-set on the epoch). The claim succeeds if `previous` is still the shard's epoch
/// when the record is applied. The shard's epoch is then previous + 1 and its owner the batch's producer.
struct shard_claimed {
    core::epoch_id previous;
    core::host_id host;
    friend bool operator==(const shard_claimed&, const shard_claimed&) = default;
};

/// The owner releases the shard. It starts no more tasks after this.
struct shard_released {
    friend bool operator==(const shard_released&, const shard_released&) = default;
};

/// A job is accepted. From this record on, the cell is responsible for it.
struct job_accepted {
    core::job_spec spec;
    core::system_time at;
    friend bool operator==(const job_accepted&, const job_accepted&) = default;
};

/// An attempt was started or is about to be. For work that is not idempotent, the record is stored before the
/// start is sent.
struct task_started {
    core::attempt_id attempt;
    std::string place; ///< The worker's or executor's name.
    core::system_time at;
    friend bool operator==(const task_started&, const task_started&) = default;
};

/// An attempt has ended.
struct task_ended {
    core::attempt_id attempt;
    core::attempt_end end = core::attempt_end::finished;
    std::string reason;
    core::system_time at;
    friend bool operator==(const task_ended&, const task_ended&) = default;
};

/// A job has ended; this is final.
struct job_ended {
    core::job_id job;
    core::outcome result = core::outcome::completed;
    std::string reason;
    core::system_time at;
    friend bool operator==(const job_ended&, const job_ended&) = default;
};

/// A caller cancelled the job. Waiting tasks never start; running tasks are stopped.
struct job_cancelled {
    core::job_id job;
    core::system_time at;
    friend bool operator==(const job_cancelled&, const job_cancelled&) = default;
};

/// A job of which no task was ever started is moved to another shard, which becomes responsible for it.
struct job_moved {
    core::job_id job;
    core::shard_id to;
    friend bool operator==(const job_moved&, const job_moved&) = default;
};

/// The destination shard has recorded the job that was moved to it.
struct move_confirmed {
    core::job_id job;
    friend bool operator==(const move_confirmed&, const move_confirmed&) = default;
};

/// A job is deleted: it has ended and its retention time is over, or its move is confirmed.
struct job_forgotten {
    core::job_id job;
    friend bool operator==(const job_forgotten&, const job_forgotten&) = default;
};

/// A rack is assigned to a shard. Only the first record for a rack takes effect.
struct rack_assigned {
    core::rack_id rack;
    core::shard_id shard;
    friend bool operator==(const rack_assigned&, const rack_assigned&) = default;
};

/// A release note was submitted. The state machine of the configuration stream decides whether it is
/// accepted.
struct note_proposed {
    release::release_note note;
    core::system_time at;
    friend bool operator==(const note_proposed&, const note_proposed&) = default;
};

/// The complete state of the stream's state machine just before this record, as encoded by its state().
///
/// Valid only at the offset that it names: an entry that was stored in between may have changed the state or
/// taken the shard away from the writer.
struct snapshot_taken {
    std::string state;
    core::log_offset at; ///< All entries before this offset are included.
    friend bool operator==(const snapshot_taken&, const snapshot_taken&) = default;
};

/// A record of any kind.
using record = std::variant<shard_claimed, shard_released, job_accepted, task_started, task_ended, job_ended,
                            job_cancelled, job_moved, move_confirmed, job_forgotten, rack_assigned,
                            note_proposed, snapshot_taken>;

/// The contents of one append: records of one producer, in order. Retries repeat a whole batch.
struct record_batch {
    core::incarnation_id producer;  ///< The incarnation of the host that writes the batch.
    core::sequence_number sequence; ///< Numbers the producer's batches in this stream, from 1, without gaps.
    core::epoch_id epoch; ///< The epoch in which the producer owns the shard; 0 in the configuration stream.
    std::vector<record> records;
    friend bool operator==(const record_batch&, const record_batch&) = default;
};

} // namespace rattanmount::ledger
