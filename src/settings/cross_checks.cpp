#include "settings/cross_checks.h"

#include "core/duration_text.h"
#include "settings/contradictions.h"

#include <set>
#include <string>

namespace rattanmount::settings {

namespace {

/// The number of connections that one executor accepts.
constexpr std::uint32_t max_executor_connections = 64;
/// While hosts are being replaced, as many new hosts as old ones may be connected to an executor.
constexpr std::uint32_t host_replacement_factor = 2;

void check_cell(const host_settings& settings, contradictions& result) {
    std::set<core::region_id> regions;
    std::set<core::data_centre_id> data_centres;
    for (const auto& region : settings.cell.regions) {
        result.check({"cell.regions"}, regions.insert(region.name).second,
                     "the region '" + region.name.value() + "' is named twice");
        for (const auto& name : region.data_centres) {
            result.check({"cell.regions"}, data_centres.insert(name).second,
                         "the data centre '" + name.value() + "' is named twice");
        }
    }
    result.check({"host.data_centre", "cell.regions"}, data_centres.count(settings.host.data_centre) == 1,
                 "the data centre '" + settings.host.data_centre.value() +
                     "' is in no region of cell.regions");
    result.check({"cell.shards", "cell.regions"}, settings.cell.shards >= data_centres.size(),
                 "must be at least the number of data centres, " + std::to_string(data_centres.size()));
}

bool is_wildcard_address(const core::endpoint& endpoint) {
    return endpoint.address == "0.0.0.0" || endpoint.address == "[::]" || endpoint.address == "::";
}

void check_addresses(const host_settings& settings, contradictions& result) {
    const auto& inner = settings.host.inner;
    const auto& front = settings.host.front;
    const bool same_address = inner.address == front.address || is_wildcard_address(front);
    result.check({"host.front", "host.inner"}, !same_address || inner.port != front.port,
                 "must not be the same address as host.inner");
    result.check({"host.inner"}, !is_wildcard_address(inner),
                 "other entry hosts call this address, so it must be one address of this host");
    result.check({"host.inner"}, inner.path.empty(), "must not have a path");
    result.check({"host.front"}, front.path.empty(), "must not have a path");
}

void check_leases(const worker_service_options& workers, contradictions& result) {
    result.check({"platform.workers.renew_interval", "platform.workers.lease_term"},
                 workers.renew_interval * 2 < workers.lease_term,
                 "twice this time must be less than platform.workers.lease_term (" +
                     core::format_duration(workers.lease_term) +
                     "), so that one lost renewal does not lose the lease");
    result.check({"platform.workers.timeout", "platform.workers.renew_interval",
                  "platform.workers.clock_drift", "platform.workers.lease_term"},
                 workers.timeout + workers.renew_interval + workers.clock_drift < workers.lease_term,
                 "with platform.workers.renew_interval and clock_drift it must be less than "
                 "platform.workers.lease_term (" +
                     core::format_duration(workers.lease_term) +
                     "), so that a lease outlives a renewal that times out");
}

void check_executors(const host_settings& settings, contradictions& result) {
    const std::uint64_t connections = std::uint64_t{settings.platform.executors.connections_per_host} *
                                      settings.cell.max_entry_hosts * host_replacement_factor;
    result.check(
        {"platform.executors.connections_per_host", "cell.max_entry_hosts"},
        connections <= max_executor_connections,
        "times cell.max_entry_hosts times " + std::to_string(host_replacement_factor) + " is " +
            std::to_string(connections) + ", but an executor takes " +
            std::to_string(max_executor_connections) +
            " connections and, while hosts are replaced, those of the old and the new hosts are open");
}

void check_times(const host_settings& settings, contradictions& result) {
    const auto& membership = settings.membership;
    result.check({"membership.suspect_after", "membership.heartbeat_interval"},
                 membership.suspect_after >= membership.heartbeat_interval * 2,
                 "must be at least twice membership.heartbeat_interval (" +
                     core::format_duration(membership.heartbeat_interval) +
                     "), so that one lost heartbeat does not make a peer suspected");
    result.check({"membership.startup_wait", "membership.heartbeat_interval"},
                 membership.startup_wait >= membership.heartbeat_interval,
                 "must be at least membership.heartbeat_interval (" +
                     core::format_duration(membership.heartbeat_interval) +
                     "), so that a starting host receives a heartbeat from each other host");
    result.check({"quick.silent_after", "quick.attempt_timeout"},
                 settings.quick.silent_after >= settings.quick.attempt_timeout,
                 "must be at least quick.attempt_timeout (" +
                     core::format_duration(settings.quick.attempt_timeout) + ")");
}

} // namespace

std::vector<fault> cross_check(const host_settings& settings, const std::vector<fault>& known_faults) {
    contradictions result{known_faults};
    check_addresses(settings, result);
    check_cell(settings, result);
    check_leases(settings.platform.workers, result);
    check_executors(settings, result);
    check_times(settings, result);
    return result.faults();
}

} // namespace rattanmount::settings
