#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "telemetry/logging_options.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rattanmount::settings {

using namespace std::chrono_literals;
using core::milliseconds;

/// The identity of this entry host and the addresses on which it listens.
struct entry_host_options {
    core::host_id name;
    core::data_centre_id data_centre;
    core::endpoint inner; ///< For other entry hosts.
    core::endpoint front; ///< For callers and operators.
};

/// A region and the data centres in it.
struct region_options {
    core::region_id name;
    std::vector<core::data_centre_id> data_centres;
};

/// The cell that this entry host belongs to; the same on all hosts of the cell.
struct cell_options {
    std::vector<region_options> regions;
    std::uint32_t shards = 0; ///< Number of shards; at least one per data centre.
    std::uint32_t max_entry_hosts = 8;
};

/// The platform's log service.
struct log_service_options {
    core::endpoint address;
    std::string stream_prefix = "rattanmount";
    milliseconds timeout = 1s;
    std::uint32_t appends_per_second = 160; ///< Rate limit for the whole cell.
    milliseconds retention = 24h;           ///< How long the log keeps a record.
    milliseconds config_read_interval = 500ms;
    milliseconds shard_read_interval = 1s;
};

/// The platform's fleet service, which lists the live and the leaving hosts.
struct fleet_service_options {
    core::endpoint address;
    milliseconds interval = 1s;
    milliseconds timeout = 1s;
};

/// Leases on workers and calls to workers.
struct worker_service_options {
    milliseconds lease_term = 6s;
    milliseconds renew_interval = 2s;
    milliseconds task_hold = 10s; ///< How long workers keep running tasks after their lease has expired.
    milliseconds timeout = 1s;
    milliseconds clock_drift = 100ms; ///< The most that two steady clocks drift apart in one lease term.
};

/// Connections to executors.
struct executor_service_options {
    std::uint32_t connections_per_host = 4;
    milliseconds connect_timeout = 200ms;
    milliseconds idle_timeout = 30s;
    milliseconds linger = 2s; ///< How long an abandoned connection still counts against the limit.
};

/// The services that the platform provides, and how they are called.
struct platform_options {
    log_service_options log;
    fleet_service_options fleet;
    worker_service_options workers;
    executor_service_options executors;
};

/// Heartbeats between entry hosts.
struct membership_options {
    milliseconds heartbeat_interval = 1s;
    milliseconds suspect_after = 3s; ///< A peer is suspected after this time without a heartbeat from it.
    milliseconds startup_wait = 2s;  ///< How long a starting host listens before it claims shards.
};

/// Limits on jobs.
struct job_options {
    milliseconds keep_outcomes = 24h;  ///< How long the outcome of an ended job can be queried.
    milliseconds caller_limit = 5s;    ///< How long a call may take if the caller gives no limit.
    std::uint32_t queue_limit = 20000; ///< Open jobs of one shard at which it refuses further jobs.
    milliseconds move_after = 5s;      ///< A job that has waited this long may be moved to another shard.
};

/// Limits on quick requests.
struct quick_options {
    std::uint32_t queue_limit = 1000; ///< Queued requests of one pool on one entry host.
    milliseconds attempt_timeout = 500ms;
    std::uint32_t max_attempts = 3;
    double retry_budget = 0.1;          ///< Retries per request.
    std::uint32_t circuit_failures = 5; ///< Failures after which a circuit breaker opens.
    milliseconds circuit_open = 2s;     ///< How long a circuit breaker stays open.
    milliseconds silent_after = 3s;     ///< A connection that is silent for this long is probed by a new one.
};

/// The part of the placement policy that is not set by release notes.
struct scheduling_options {
    double urgent_reserve = 0.05; ///< The share of the shard's capacity that only urgent work may use.
    milliseconds ageing = 60s;    ///< For each such interval of waiting, a job's priority rises by one step.
    std::uint32_t quarantine_failures = 3;
    milliseconds quarantine_time = 60s;
};

/// Thread counts and size limits for traffic.
struct traffic_options {
    std::uint32_t front_threads = 64;
    std::uint32_t worker_threads = 16;
    std::uint32_t log_threads = 4;
    std::uint32_t inner_threads = 64;
    std::uint32_t control_queue = 20000; ///< Capacity of the control thread's event queue.
    std::uint32_t body_limit_bytes = 1048576;
};

/// How the host shuts down.
struct shutdown_options {
    milliseconds grace = 10s; ///< How long requests in flight may take to finish.
};

/// All settings of one entry host.
///
/// A value type; read once at start by read_settings(), then shared as a constant.
struct host_settings {
    entry_host_options host;
    cell_options cell;
    platform_options platform;
    membership_options membership;
    job_options jobs;
    quick_options quick;
    scheduling_options scheduling;
    traffic_options traffic;
    telemetry::logging_options log;
    shutdown_options shutdown;
};

} // namespace rattanmount::settings
