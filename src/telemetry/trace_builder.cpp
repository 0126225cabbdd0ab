#include "telemetry/trace_builder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattanmount::telemetry {

namespace {

using nlohmann::ordered_json;

constexpr std::uint64_t host_process = 1;
constexpr std::uint64_t worker_process = 2;

/// @return microseconds since the Unix epoch; the counter is added as microseconds, up to 999, so that the
///         events of one millisecond stay in order.
std::int64_t microseconds_of(core::hybrid_time time) {
    constexpr std::uint32_t max_added = 999;
    const std::chrono::microseconds wall = core::since_epoch(time.wall);
    return wall.count() + std::min(time.counter, max_added);
}

ordered_json process_name(std::uint64_t process, const char* name) {
    return {{"name", "process_name"}, {"ph", "M"}, {"pid", process}, {"tid", 0}, {"args", {{"name", name}}}};
}

ordered_json arguments_of(const event& each) {
    ordered_json arguments{{"at", each.at.text()},
                           {"host", each.host.value()},
                           {"job", each.about.job},
                           {"worker", each.about.worker.value()},
                           {"detail", each.about.detail}};
    if (each.about.shard) {
        arguments["shard"] = each.about.shard->value();
    }
    return arguments;
}

} // namespace

void trace_builder::add(const event& each) {
    this->latest = std::max(this->latest, each.at);
    if (each.kind == event_kind::task_started) {
        this->start_attempt(each);
    } else if (each.kind == event_kind::task_ended) {
        this->end_attempt(each);
    } else {
        this->add_instant_event(each);
    }
}

nlohmann::ordered_json trace_builder::take() {
    for (const auto& [key, attempt] : this->running) {
        this->add_complete_event(attempt, this->latest, "still running");
    }
    auto result = ordered_json::array();
    result.push_back(process_name(host_process, "entry hosts"));
    result.push_back(process_name(worker_process, "workers"));
    std::move(this->trace_events.begin(), this->trace_events.end(), std::back_inserter(result));
    return {{"traceEvents", std::move(result)}, {"displayTimeUnit", "ms"}};
}

void trace_builder::start_attempt(const event& each) {
    const attempt_key key{.worker = each.about.worker, .job = each.about.job};
    if (this->running.count(key) == 1) {
        return; // A new owner of the shard has reported the attempt again.
    }
    this->running[key] = {.start = each, .lane = this->allocate_lane(each.about.worker)};
}

void trace_builder::end_attempt(const event& each) {
    const auto found = this->running.find({.worker = each.about.worker, .job = each.about.job});
    if (found == this->running.end()) {
        this->add_instant_event(each); // The timeline no longer has its start.
        return;
    }
    this->add_complete_event(found->second, each.at, each.about.detail);
    this->workers[each.about.worker].lane_in_use[found->second.lane] = false;
    this->running.erase(found);
}

void trace_builder::add_complete_event(const running_attempt& attempt, core::hybrid_time end,
                                       const std::string& end_detail) {
    const auto& start = attempt.start;
    auto arguments = arguments_of(start);
    arguments["end"] = end_detail;
    const auto start_time = microseconds_of(start.at);
    this->trace_events.push_back({{"name", start.about.job},
                                  {"cat", "task"},
                                  {"ph", "X"},
                                  {"ts", start_time},
                                  {"dur", microseconds_of(end) - start_time},
                                  {"pid", worker_process},
                                  {"tid", this->workers[start.about.worker].track_ids[attempt.lane]},
                                  {"args", std::move(arguments)}});
}

void trace_builder::add_instant_event(const event& each) {
    this->trace_events.push_back({{"name", to_string(each.kind)},
                                  {"cat", "event"},
                                  {"ph", "i"},
                                  {"s", "t"},
                                  {"ts", microseconds_of(each.at)},
                                  {"pid", host_process},
                                  {"tid", this->host_track(each.host)},
                                  {"args", arguments_of(each)}});
}

std::size_t trace_builder::allocate_lane(const core::worker_id& worker) {
    auto& tracks = this->workers[worker];
    const auto free = std::find(tracks.lane_in_use.begin(), tracks.lane_in_use.end(), false);
    const auto lane = static_cast<std::size_t>(free - tracks.lane_in_use.begin());
    if (free != tracks.lane_in_use.end()) {
        *free = true;
        return lane;
    }
    tracks.lane_in_use.push_back(true);
    tracks.track_ids.push_back(this->next_track);
    this->name_track(worker_process, this->next_track, worker.value() + " " + std::to_string(lane + 1));
    ++this->next_track;
    return lane;
}

std::uint64_t trace_builder::host_track(const core::host_id& host) {
    const auto [place, added] = this->host_tracks.try_emplace(host, this->next_track);
    if (added) {
        this->name_track(host_process, this->next_track, host.value());
        ++this->next_track;
    }
    return place->second;
}

void trace_builder::name_track(std::uint64_t process, std::uint64_t track, const std::string& name) {
    this->trace_events.push_back(
        {{"name", "thread_name"}, {"ph", "M"}, {"pid", process}, {"tid", track}, {"args", {{"name", name}}}});
}

} // namespace rattanmount::telemetry
