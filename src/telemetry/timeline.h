#pragma once

#include "telemetry/event.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// The options of a timeline.
struct timeline_options {
    core::host_id host;
    core::incarnation_id incarnation;
    std::function<core::hybrid_time()> now; ///< Usually hybrid_clock::now().
    std::size_t capacity = 16384;           ///< The number of events that are kept; at least 1.
};

/// A ring buffer of the latest events of one process, in the order of their timestamps.
///
/// To see the events of a whole cell, fetch those of all its entry hosts and merge() them. Owned by the entry
/// host. Thread-safe; callers wait at most for a lock that is held briefly.
class timeline {
public:
    explicit timeline(timeline_options options);

    /// Adds an event with the current time; replaces the oldest event if the timeline is full.
    /// @param kind what happened.
    /// @param about what it happened to.
    void record(event_kind kind, event_fields about = {});

    /// @return the kept events, oldest first.
    [[nodiscard]] std::vector<event> events() const;

    /// @return the kept events as JSON lines, oldest first.
    [[nodiscard]] std::string to_json_lines() const;

    /// @return the number of events that were replaced by newer ones.
    [[nodiscard]] std::uint64_t overwritten_events() const;

private:
    /// An event without the host and incarnation, which are the same for all.
    struct entry {
        core::hybrid_time at;
        event_kind kind = event_kind::host_started;
        event_fields about;
    };

    timeline_options options;
    mutable std::mutex mutex;
    std::vector<entry> ring;
    std::size_t oldest = 0;     ///< Index of the oldest event in the ring.
    std::uint64_t recorded = 0; ///< Number of events recorded so far.
};

} // namespace rattanmount::telemetry
