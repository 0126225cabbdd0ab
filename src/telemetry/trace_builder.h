#pragma once

#include "telemetry/event.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// Converts events to the trace event format of Chrome, as complete events and instant events.
///
/// Add events in the order of their times, then take() the result. Owned by format_trace_events(); used by
/// one thread.
class trace_builder {
public:
    /// @param each the next event.
    void add(const event& each);

    /// Ends the attempts that are still running at the time of the last event, and returns the trace.
    /// @return the JSON object that trace viewers open.
    [[nodiscard]] nlohmann::ordered_json take();

private:
    /// Identifies a running attempt.
    struct attempt_key {
        core::worker_id worker;
        std::string job;

        friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
    };

    struct running_attempt {
        event start;
        std::size_t lane = 0; ///< Index into the vectors of worker_tracks.
    };

    /// The tracks of a worker: as many as attempts ran on it at the same time.
    struct worker_tracks {
        std::vector<bool> lane_in_use; ///< Whether an attempt is running there.
        std::vector<std::uint64_t> track_ids;
    };

    void start_attempt(const event& each);
    void end_attempt(const event& each);
    void add_complete_event(const running_attempt& attempt, core::hybrid_time end,
                            const std::string& end_detail);
    void add_instant_event(const event& each);
    std::size_t allocate_lane(const core::worker_id& worker);
    std::uint64_t host_track(const core::host_id& host);
    void name_track(std::uint64_t process, std::uint64_t track, const std::string& name);

    std::vector<nlohmann::ordered_json> trace_events;
    std::map<attempt_key, running_attempt> running;
    std::map<core::worker_id, worker_tracks> workers;
    std::map<core::host_id, std::uint64_t> host_tracks;
    std::uint64_t next_track = 1;
    core::hybrid_time latest;
};

} // namespace rattanmount::telemetry
