#pragma once

#include "telemetry/event.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanmount::telemetry {

/// Builds the list of trace events for format_trace_events(), which owns it; used by one thread.
///
/// Add events in the order of their times, then take() the result.
class trace_builder {
public:
    /// @param each the next event.
    void add(const event& each);

    /// Ends the bars of attempts that still run.
    /// @return the JSON object for viewers.
    [[nodiscard]] nlohmann::ordered_json take();

private:
    /// An attempt that runs, on a worker.
    struct attempt_key {
        core::worker_id worker;
        std::string job;

        friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
    };

    struct running_attempt {
        event start;
        std::size_t lane = 0; ///< Index in worker_tracks::lanes.
    };

    /// The tracks of a worker: one per attempt that ran at the same time.
    struct worker_tracks {
        std::vector<bool> lanes; ///< Whether an attempt runs there now.
        std::vector<std::uint64_t> tracks;
    };

    void start_attempt(const event& each);
    void end_attempt(const event& each);
    void add_bar(const running_attempt& attempt, core::hybrid_time end, const std::string& how);
    void add_mark(const event& each);
    std::size_t take_lane(const core::worker_id& worker);
    std::uint64_t host_track(const core::host_id& host);
    void name_track(std::uint64_t process, std::uint64_t track, const std::string& name);

    std::vector<nlohmann::ordered_json> list;
    std::map<attempt_key, running_attempt> running;
    std::map<core::worker_id, worker_tracks> workers;
    std::map<core::host_id, std::uint64_t> hosts;
    std::uint64_t next_track = 1;
    core::hybrid_time latest;
};

} // namespace rattanmount::telemetry
