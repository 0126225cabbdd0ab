#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace rattanmount::overload {

/// The name of a queue, as the leader and the entry hosts know it.
using queue_name = core::text_id<struct overload_queue_tag>;

/// What the leader expects for a job that arrives in a queue now.
struct queue_load {
    /// How long its first step would wait for room behind the work of its priority and above.
    core::milliseconds expected_wait{0};
    std::uint32_t waiting_jobs = 0;

    friend bool operator==(const queue_load&, const queue_load&) = default;
};

/// What the leader publishes in the cell's log about the room that it expects, so that every entry host can
/// refuse at once what cannot be of use. A hint: one that is old or missing refuses nothing.
///
/// A value type.
struct load_report {
    core::epoch_id epoch;                    ///< The leader that made it; a later epoch replaces it.
    std::uint64_t version = 0;               ///< Counts the reports of an epoch, from 1.
    std::map<queue_name, queue_load> queues; ///< Only queues in which a job would wait.

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace rattanmount::overload
