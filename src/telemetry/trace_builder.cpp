#include "telemetry/trace_builder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattanmount::telemetry {

namespace {

using nlohmann::ordered_json;

constexpr std::uint64_t host_process = 1;
constexpr std::uint64_t worker_process = 2;

/// @return microseconds since 1970; the counter orders what happened within a millisecond.
std::int64_t microseconds_of(core::hybrid_time time) {
    constexpr std::uint32_t most_within = 999;
    const std::chrono::microseconds wall = core::since_epoch(time.wall);
    return wall.count() + std::min(time.counter, most_within);
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
        this->add_mark(each);
    }
}

nlohmann::ordered_json trace_builder::take() {
    for (const auto& [key, attempt] : this->running) {
        this->add_bar(attempt, this->latest, "still running");
    }
    auto result = ordered_json::array();
    result.push_back(process_name(host_process, "entry hosts"));
    result.push_back(process_name(worker_process, "workers"));
    std::move(this->list.begin(), this->list.end(), std::back_inserter(result));
    return {{"traceEvents", std::move(result)}, {"displayTimeUnit", "ms"}};
}

void trace_builder::start_attempt(const event& each) {
    const attempt_key key{.worker = each.about.worker, .job = each.about.job};
    if (this->running.count(key) == 1) {
        return; // A new owner of the shard reports the attempt again.
    }
    this->running[key] = {.start = each, .lane = this->take_lane(each.about.worker)};
}

void trace_builder::end_attempt(const event& each) {
    const auto found = this->running.find({.worker = each.about.worker, .job = each.about.job});
    if (found == this->running.end()) {
        this->add_mark(each); // Its start was overwritten.
        return;
    }
    this->add_bar(found->second, each.at, each.about.detail);
    this->workers[each.about.worker].lanes[found->second.lane] = false;
    this->running.erase(found);
}

void trace_builder::add_bar(const running_attempt& attempt, core::hybrid_time end, const std::string& how) {
    const auto& start = attempt.start;
    auto arguments = arguments_of(start);
    arguments["end"] = how;
    const auto start_time = microseconds_of(start.at);
    this->list.push_back({{"name", start.about.job},
                          {"cat", "task"},
                          {"ph", "X"},
                          {"ts", start_time},
                          {"dur", microseconds_of(end) - start_time},
                          {"pid", worker_process},
                          {"tid", this->workers[start.about.worker].tracks[attempt.lane]},
                          {"args", std::move(arguments)}});
}

void trace_builder::add_mark(const event& each) {
    this->list.push_back({{"name", to_string(each.kind)},
                          {"cat", "event"},
                          {"ph", "i"},
                          {"s", "t"},
                          {"ts", microseconds_of(each.at)},
                          {"pid", host_process},
                          {"tid", this->host_track(each.host)},
                          {"args", arguments_of(each)}});
}

std::size_t trace_builder::take_lane(const core::worker_id& worker) {
    auto& tracks = this->workers[worker];
    const auto free = std::find(tracks.lanes.begin(), tracks.lanes.end(), false);
    const auto lane = static_cast<std::size_t>(free - tracks.lanes.begin());
    if (free != tracks.lanes.end()) {
        *free = true;
        return lane;
    }
    tracks.lanes.push_back(true);
    tracks.tracks.push_back(this->next_track);
    this->name_track(worker_process, this->next_track, worker.value() + " " + std::to_string(lane + 1));
    ++this->next_track;
    return lane;
}

std::uint64_t trace_builder::host_track(const core::host_id& host) {
    const auto [place, added] = this->hosts.try_emplace(host, this->next_track);
    if (added) {
        this->name_track(host_process, this->next_track, host.value());
        ++this->next_track;
    }
    return place->second;
}

void trace_builder::name_track(std::uint64_t process, std::uint64_t track, const std::string& name) {
    this->list.push_back(
        {{"name", "thread_name"}, {"ph", "M"}, {"pid", process}, {"tid", track}, {"args", {{"name", name}}}});
}

} // namespace rattanmount::telemetry
