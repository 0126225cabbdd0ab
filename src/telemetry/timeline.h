#pragma once

#include "telemetry/event.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// What a time line is made with.
struct timeline_options {
    core::host_id host;
    core::incarnation_id incarnation;
    std::function<core::hybrid_time()> now; ///< Usually hybrid_clock::now().
    std::size_t capacity = 16384;           ///< Events that are kept; at least 1.
};

/// The last events of one process, in the order of their times.
///
/// Record what changes; ask for the events of all entry hosts and merge() them to see a whole cell. The
/// entry host owns one; any thread may call it and waits at most for a short lock.
class timeline {
public:
    /// @param options its name, clock and size.
    explicit timeline(timeline_options options);

    /// Adds an event with the time of now; the oldest one makes room where the time line is full.
    /// @param kind what happened.
    /// @param about to what.
    void record(event_kind kind, event_fields about = {});

    /// @return the events that are kept, oldest first.
    [[nodiscard]] std::vector<event> events() const;

    /// @return the events that are kept as JSON lines, oldest first.
    [[nodiscard]] std::string to_json_lines() const;

    /// @return how many events made room for newer ones.
    [[nodiscard]] std::uint64_t overwritten() const;

private:
    timeline_options options;
    mutable std::mutex mutex;
    std::vector<event> ring;
    std::size_t oldest = 0; ///< Index in the ring, once it is full.
    std::uint64_t recorded = 0;
};

} // namespace rattanmount::telemetry
