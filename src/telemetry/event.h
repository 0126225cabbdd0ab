#pragma once

#include "core/hybrid_time.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanmount::telemetry {

/// The kinds of event; they mark changes of state of hosts, jobs, tasks, shards, leases and connections.
enum class event_kind : std::uint8_t {
    host_started,
    host_stopping,
    host_stopped,
    job_accepted,
    job_refused,
    job_moved,
    job_cancelled,
    job_ended,
    task_placed,
    task_start_sent,
    task_started,
    task_ended,
    preempted,
    shard_claimed,
    shard_serving,
    shard_lost,
    shard_released,
    lease_taken,
    lease_lost,
    worker_quarantined,
    worker_restored,
    note_proposed,
    note_in_force,
    note_refused,
    peer_joined,
    peer_lost,
    log_down,
    log_up,
    snapshot_written,
    quick_sent,
    quick_ended,
    quick_refused,
    circuit_opened,
    circuit_closed,
};

/// The number of enumerators of event_kind.
inline constexpr std::size_t event_kind_count = static_cast<std::size_t>(event_kind::circuit_closed) + 1;

/// @return the name of the enumerator.
[[nodiscard]] std::string_view to_string(event_kind kind);

/// @param text the name of an enumerator.
/// @throws core::invalid_argument if there is no enumerator of that name.
[[nodiscard]] event_kind parse_event_kind(std::string_view text);

/// What an event is about; fields that do not apply stay empty.
struct event_fields {
    std::string job; ///< job_id::text(), or attempt_id::text() for an event of one attempt.
    core::worker_id worker;
    std::optional<core::shard_id> shard;
    std::string detail; ///< Plain text.

    friend bool operator==(const event_fields&, const event_fields&) = default;
};

/// An event in one process.
struct event {
    core::hybrid_time at;
    core::host_id host;
    core::incarnation_id incarnation;
    event_kind kind = event_kind::host_started;
    event_fields about;

    friend bool operator==(const event&, const event&) = default;
};

} // namespace rattanmount::telemetry
