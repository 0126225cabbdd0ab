#include "settings/cross_checks.h"

#include "core/duration_text.h"

#include <algorithm>
#include <set>
#include <string>

namespace rattanmount::settings {

namespace {

/// Connections that an executor takes.
constexpr std::uint32_t executor_connections = 64;
/// While hosts are replaced, as many new ones as old ones may be connected.
constexpr std::uint32_t hosts_over_while_replaced = 2;

/// @return whether a place is the given setting or a part of it.
bool is_within(const std::string& place, const std::string& setting) {
    if (place.compare(0, setting.size(), setting) != 0) {
        return false;
    }
    return place.size() == setting.size() || place[setting.size()] == '.' || place[setting.size()] == '[';
}

/// Notes contradictions between values that are each right.
class checker {
public:
    explicit checker(const std::vector<fault>& known) : known(known) {}

    /// @param paths what the check needs; the first is where the fault is shown.
    /// @param holds whether the settings agree.
    /// @param message what is wrong otherwise.
    void check(const std::vector<std::string>& paths, bool holds, const std::string& message) {
        const bool usable = std::none_of(paths.begin(), paths.end(),
                                         [this](const std::string& path) { return this->at_fault(path); });
        if (usable && !holds) {
            this->found.push_back({.place = paths.front(), .message = message});
        }
    }

    [[nodiscard]] std::vector<fault> take() { return std::move(this->found); }

private:
    [[nodiscard]] bool at_fault(const std::string& path) const {
        return std::any_of(this->known.begin(), this->known.end(), [&](const fault& each) {
            return is_within(each.place, path) || is_within(path, each.place);
        });
    }

    const std::vector<fault>& known;
    std::vector<fault> found;
};

void check_cell(const host_settings& settings, checker& result) {
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

void check_addresses(const host_settings& settings, checker& result) {
    result.check({"host.front", "host.inner"}, settings.host.front != settings.host.inner,
                 "must not be the same address as host.inner");
    const auto& inner = settings.host.inner.address;
    result.check({"host.inner"}, inner != "0.0.0.0" && inner != "[::]" && inner != "::",
                 "other entry hosts call this address, so it must be one address of this host");
    result.check({"host.inner"}, settings.host.inner.path.empty(), "takes no path");
    result.check({"host.front"}, settings.host.front.path.empty(), "takes no path");
}

void check_leases(const worker_service_options& workers, checker& result) {
    result.check({"platform.workers.renew_interval", "platform.workers.lease_term"},
                 workers.renew_interval * 2 < workers.lease_term,
                 "twice this time must be less than platform.workers.lease_term (" +
                     core::format_duration(workers.lease_term) +
                     "), so that one lost renewal loses no lease");
    result.check({"platform.workers.timeout", "platform.workers.renew_interval",
                  "platform.workers.clock_drift", "platform.workers.lease_term"},
                 workers.timeout + workers.renew_interval + workers.clock_drift < workers.lease_term,
                 "with platform.workers.renew_interval and clock_drift it must be less than "
                 "platform.workers.lease_term (" +
                     core::format_duration(workers.lease_term) +
                     "), so that a lease outlives a renewal that times out");
}

void check_executors(const host_settings& settings, checker& result) {
    const std::uint64_t open = std::uint64_t{settings.platform.executors.connections_per_host} *
                               settings.cell.max_entry_hosts * hosts_over_while_replaced;
    result.check(
        {"platform.executors.connections_per_host", "cell.max_entry_hosts"}, open <= executor_connections,
        "times cell.max_entry_hosts times " + std::to_string(hosts_over_while_replaced) + " is " +
            std::to_string(open) + ", but an executor takes " + std::to_string(executor_connections) +
            " connections and, while hosts are replaced, those of the old and the new hosts are open");
}

void check_times(const host_settings& settings, checker& result) {
    const auto& membership = settings.membership;
    result.check({"membership.suspect_after", "membership.heartbeat_interval"},
                 membership.suspect_after >= membership.heartbeat_interval * 2,
                 "must be at least twice membership.heartbeat_interval (" +
                     core::format_duration(membership.heartbeat_interval) +
                     "), so that one lost heartbeat suspects nobody");
    result.check({"membership.startup_wait", "membership.heartbeat_interval"},
                 membership.startup_wait >= membership.heartbeat_interval,
                 "must be at least membership.heartbeat_interval (" +
                     core::format_duration(membership.heartbeat_interval) +
                     "), so that a starting host hears of the others");
    result.check({"quick.silent_after", "quick.attempt_timeout"},
                 settings.quick.silent_after >= settings.quick.attempt_timeout,
                 "must be at least quick.attempt_timeout (" +
                     core::format_duration(settings.quick.attempt_timeout) + ")");
}

} // namespace

std::vector<fault> cross_check(const host_settings& settings, const std::vector<fault>& known) {
    checker result{known};
    check_addresses(settings, result);
    check_cell(settings, result);
    check_leases(settings.platform.workers, result);
    check_executors(settings, result);
    check_times(settings, result);
    return result.take();
}

} // namespace rattanmount::settings
