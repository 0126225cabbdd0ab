#include "settings/settings_reader.h"

#include "settings/cross_checks.h"
#include "settings/document.h"
#include "settings/section_reader.h"

#include <fstream>
#include <iterator>

namespace rattanmount::settings {

namespace {

using count_range = range<std::uint32_t>;
using ratio_range = range<double>;
using duration_range = range<milliseconds>;

constexpr duration_range call_timeout_range{10ms, 60s};
constexpr duration_range interval_range{50ms, 60s};
/// Short, because release notes and leaving targets must be noticed within seconds.
constexpr duration_range poll_interval_range{50ms, 2s};
constexpr duration_range retention_range{1min, 365 * 24h};

void read_host(section_reader& reader, entry_host_options& host) {
    reader.required_id("name", host.name);
    reader.required_id("data_centre", host.data_centre);
    reader.required_endpoint("inner", host.inner);
    reader.required_endpoint("front", host.front);
}

void read_region(section_reader& reader, region_options& region) {
    reader.required_id("name", region.name);
    reader.required_names("data_centres",
                          [&](const std::string& name) { region.data_centres.emplace_back(name); });
}

void read_cell(section_reader& reader, cell_options& cell) {
    reader.required_list("regions",
                         [&](section_reader& entry) { read_region(entry, cell.regions.emplace_back()); });
    reader.required_count("shards", cell.shards, count_range{1, 256});
    reader.count("max_entry_hosts", cell.max_entry_hosts, count_range{1, 64});
}

void read_log_service(section_reader& reader, log_service_options& log) {
    reader.required_endpoint("address", log.address);
    reader.name("stream_prefix", log.stream_prefix);
    reader.duration("timeout", log.timeout, call_timeout_range);
    reader.count("appends_per_second", log.appends_per_second, count_range{1, 10000});
    reader.duration("retention", log.retention, retention_range);
    reader.duration("config_read_interval", log.config_read_interval, poll_interval_range);
    reader.duration("shard_read_interval", log.shard_read_interval, interval_range);
}

void read_fleet_service(section_reader& reader, fleet_service_options& fleet) {
    reader.required_endpoint("address", fleet.address);
    reader.duration("interval", fleet.interval, poll_interval_range);
    reader.duration("timeout", fleet.timeout, call_timeout_range);
}

void read_worker_service(section_reader& reader, worker_service_options& workers) {
    reader.duration("lease_term", workers.lease_term, duration_range{500ms, 10min});
    reader.duration("renew_interval", workers.renew_interval, interval_range);
    reader.duration("task_hold", workers.task_hold, duration_range{0ms, 10min});
    reader.duration("timeout", workers.timeout, call_timeout_range);
    reader.duration("clock_drift", workers.clock_drift, duration_range{0ms, 10s});
}

void read_executor_service(section_reader& reader, executor_service_options& executors) {
    reader.count("connections_per_host", executors.connections_per_host, count_range{1, 64});
    reader.duration("connect_timeout", executors.connect_timeout, call_timeout_range);
    reader.duration("idle_timeout", executors.idle_timeout, duration_range{100ms, 1h});
    reader.duration("linger", executors.linger, duration_range{0ms, 60s});
}

void read_platform(section_reader& reader, platform_options& platform) {
    reader.section("log", [&](section_reader& part) { read_log_service(part, platform.log); });
    reader.section("fleet", [&](section_reader& part) { read_fleet_service(part, platform.fleet); });
    reader.section("workers", [&](section_reader& part) { read_worker_service(part, platform.workers); });
    reader.section("executors",
                   [&](section_reader& part) { read_executor_service(part, platform.executors); });
}

void read_membership(section_reader& reader, membership_options& membership) {
    reader.duration("heartbeat_interval", membership.heartbeat_interval, interval_range);
    reader.duration("suspect_after", membership.suspect_after, duration_range{100ms, 10min});
    reader.duration("startup_wait", membership.startup_wait, duration_range{0ms, 10min});
}

void read_jobs(section_reader& reader, job_options& jobs) {
    reader.duration("keep_outcomes", jobs.keep_outcomes, retention_range);
    reader.duration("caller_limit", jobs.caller_limit, duration_range{100ms, 5min});
    reader.count("queue_limit", jobs.queue_limit, count_range{1, 1000000});
    reader.duration("move_after", jobs.move_after, duration_range{100ms, 24h});
}

void read_quick(section_reader& reader, quick_options& quick) {
    reader.count("queue_limit", quick.queue_limit, count_range{1, 100000});
    reader.duration("attempt_timeout", quick.attempt_timeout, call_timeout_range);
    reader.count("max_attempts", quick.max_attempts, count_range{1, 10});
    reader.ratio("retry_budget", quick.retry_budget, ratio_range{0.0, 1.0});
    reader.count("circuit_failures", quick.circuit_failures, count_range{1, 1000});
    reader.duration("circuit_open", quick.circuit_open, duration_range{10ms, 10min});
    reader.duration("silent_after", quick.silent_after, duration_range{100ms, 10min});
}

void read_scheduling(section_reader& reader, scheduling_options& scheduling) {
    reader.ratio("urgent_reserve", scheduling.urgent_reserve, ratio_range{0.0, 0.5});
    reader.duration("ageing", scheduling.ageing, duration_range{1s, 24h});
    reader.count("quarantine_failures", scheduling.quarantine_failures, count_range{1, 1000});
    reader.duration("quarantine_time", scheduling.quarantine_time, duration_range{1s, 24h});
}

void read_traffic(section_reader& reader, traffic_options& traffic) {
    constexpr count_range threads{1, 1024};
    reader.count("front_threads", traffic.front_threads, threads);
    reader.count("worker_threads", traffic.worker_threads, threads);
    reader.count("log_threads", traffic.log_threads, threads);
    reader.count("inner_threads", traffic.inner_threads, threads);
    reader.count("control_queue", traffic.control_queue, count_range{100, 1000000});
    reader.count("body_limit_bytes", traffic.body_limit_bytes, count_range{1024, 64 * 1024 * 1024});
}

void read_log(section_reader& reader, telemetry::logging_options& log) {
    reader.choice("level", std::string{telemetry::to_string(log.level)}, "debug, info, warning, error",
                  [&](const std::string& name) { log.level = telemetry::parse_log_level(name); });
    reader.choice("format", std::string{telemetry::to_string(log.format)}, "text, json",
                  [&](const std::string& name) { log.format = telemetry::parse_log_format(name); });
}

void read_shutdown(section_reader& reader, shutdown_options& shutdown) {
    reader.duration("grace", shutdown.grace, duration_range{0ms, 1h});
}

host_settings read_root(const nlohmann::json& root, reader_output& output) {
    host_settings settings;
    section_reader reader{root, "", output};
    reader.section("host", [&](section_reader& part) { read_host(part, settings.host); });
    reader.section("cell", [&](section_reader& part) { read_cell(part, settings.cell); });
    reader.section("platform", [&](section_reader& part) { read_platform(part, settings.platform); });
    reader.section("membership", [&](section_reader& part) { read_membership(part, settings.membership); });
    reader.section("jobs", [&](section_reader& part) { read_jobs(part, settings.jobs); });
    reader.section("quick", [&](section_reader& part) { read_quick(part, settings.quick); });
    reader.section("scheduling", [&](section_reader& part) { read_scheduling(part, settings.scheduling); });
    reader.section("traffic", [&](section_reader& part) { read_traffic(part, settings.traffic); });
    reader.section("log", [&](section_reader& part) { read_log(part, settings.log); });
    reader.section("shutdown", [&](section_reader& part) { read_shutdown(part, settings.shutdown); });
    reader.finish();
    return settings;
}

} // namespace

host_settings read_settings(const std::string& text) {
    const auto parsed = parse_document(text);
    if (!parsed.root.is_object()) {
        throw settings_error(std::vector{
            fault{.place = "line 1, column 1", .message = "the settings must be one JSON object"}});
    }
    reader_output output{.faults = parsed.duplicates};
    auto settings = read_root(parsed.root, output);
    const auto contradiction_faults = cross_check(settings, output.faults);
    output.faults.insert(output.faults.end(), contradiction_faults.begin(), contradiction_faults.end());
    if (!output.faults.empty()) {
        throw settings_error(std::move(output.faults));
    }
    return settings;
}

host_settings read_settings_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        throw settings_error(std::vector{fault{.place = path, .message = "cannot be read"}});
    }
    const std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    return read_settings(text);
}

std::vector<setting_key> setting_keys() {
    // One empty region, because the keys of a region are looked up only for the entries of the list.
    const auto skeleton = nlohmann::json::parse(R"({"cell": {"regions": [{}]}})");
    reader_output output;
    read_root(skeleton, output);
    return output.keys;
}

} // namespace rattanmount::settings
