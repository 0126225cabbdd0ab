#pragma once

#include "core/strong_types.h"

#include <string>
#include <tuple>

namespace rattanmount::core {

/// The name of an entry host, which stays the same across restarts.
using host_id = text_id<struct host_id_tag>;
/// One run of an entry host's process: the host's name and a random part that is new at every start.
using incarnation_id = text_id<struct incarnation_id_tag>;
using worker_id = text_id<struct worker_id_tag>;
using executor_id = text_id<struct executor_id_tag>;
using rack_id = text_id<struct rack_id_tag>;
using data_centre_id = text_id<struct data_centre_id_tag>;
using region_id = text_id<struct region_id_tag>;
using team_id = text_id<struct team_id_tag>;
using pool_id = text_id<struct pool_id_tag>;
using service_id = text_id<struct service_id_tag>;
/// The idempotency key that a caller gives a request; a retry with the same key is the same request.
using request_key = text_id<struct request_key_tag>;
/// The name that an operator gives a release note; a retry with the same name is the same note.
using note_id = text_id<struct note_id_tag>;
/// A stream of the platform's log service.
using stream_id = text_id<struct stream_id_tag>;

/// A shard of the cell: some racks, the workers and executors in them, and the jobs whose key hashes to it.
using shard_id = number_id<struct shard_id_tag>;
/// Incremented with each new owner of a shard; a record of an older epoch has no effect. 0: never owned.
using epoch_id = number_id<struct epoch_id_tag>;
/// The position of an entry in a stream; the first entry of a stream has offset 0.
using log_offset = number_id<struct log_offset_tag>;
/// Numbers the batches of one producer in one stream, from 1.
using sequence_number = number_id<struct sequence_number_tag>;
/// The number by which a worker identifies the current holder of its lease; 0: no lease.
using lease_id = number_id<struct lease_id_tag>;
/// The revision of a pool or a team: the number of release notes that have changed it, from 1.
using revision_id = number_id<struct revision_id_tag>;

/// @return a new id for this run of the host's process, made unique by 64 random bits.
[[nodiscard]] incarnation_id make_incarnation(const host_id& host);

/// Identifies a job by its team and the key that the caller gave.
struct job_id {
    team_id team;
    request_key key;

    friend auto operator<=>(const job_id&, const job_id&) = default;

    /// @return "team/key", for logs and for keys in external systems.
    [[nodiscard]] std::string text() const { return this->team.value() + "/" + this->key.value(); }
};

/// Identifies one attempt to run one task of a job.
struct attempt_id {
    job_id job;
    std::uint32_t task = 0;    ///< Index of the task in its job, from 0.
    std::uint32_t attempt = 0; ///< Number of the attempt at this task, from 1; 0: none yet.

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;

    /// @return "team/key#task.attempt".
    [[nodiscard]] std::string text() const {
        return this->job.text() + "#" + std::to_string(this->task) + "." + std::to_string(this->attempt);
    }

    /// Parses a result of text().
    /// @throws core::invalid_argument if the text has another form.
    [[nodiscard]] static attempt_id parse(const std::string& text);
};

} // namespace rattanmount::core

template <>
struct std::hash<rattanmount::core::job_id> {
    std::size_t operator()(const rattanmount::core::job_id& id) const noexcept {
        constexpr std::size_t mix = 0x9E3779B97F4A7C15U;
        return std::hash<rattanmount::core::team_id>{}(id.team) * mix ^
               std::hash<rattanmount::core::request_key>{}(id.key);
    }
};
