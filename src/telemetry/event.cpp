#include "telemetry/event.h"

#include "core/errors.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace rattanmount::telemetry {

namespace {

/// In the order of event_kind.
constexpr std::array<std::string_view, event_kind_count> names{
    "host_started",    "host_stopping",  "host_stopped",   "job_accepted",     "job_refused",
    "job_moved",       "job_cancelled",  "job_ended",      "task_placed",      "task_start_sent",
    "task_started",    "task_ended",     "preempted",      "shard_claimed",    "shard_serving",
    "shard_lost",      "shard_released", "lease_taken",    "lease_lost",       "worker_quarantined",
    "worker_restored", "note_proposed",  "note_in_force",  "note_refused",     "peer_joined",
    "peer_lost",       "log_down",       "log_up",         "snapshot_written", "quick_sent",
    "quick_ended",     "quick_refused",  "circuit_opened", "circuit_closed",
};

} // namespace

std::string_view to_string(event_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    assert(index < names.size());
    return names.at(index);
}

event_kind parse_event_kind(std::string_view text) {
    const auto* const found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        throw core::invalid_argument("not a kind of event: '" + std::string{text} + "'");
    }
    return static_cast<event_kind>(found - names.begin());
}

} // namespace rattanmount::telemetry
