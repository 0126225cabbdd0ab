#include "cell/membership.h"

#include <algorithm>
#include <set>

namespace rattanmount::cell {

membership::membership(membership_options options) : options(std::move(options)) {}

void membership::on_fleet_list(const std::vector<external::listed_host>& hosts) {
    this->listed_hosts = hosts;
}

bool membership::on_view(const peer_view& view, core::steady_time now) {
    if (view.host == this->options.self) {
        return false;
    }
    const auto known = this->peers.find(view.host);
    const bool newly_live = known == this->peers.end() || !this->is_recent(known->second, now) ||
                            known->second.view.incarnation != view.incarnation;
    this->peers[view.host] = peer{.view = view, .last_heard = now};
    return newly_live;
}

bool membership::is_recent(const peer& known, core::steady_time now) const {
    return now - known.last_heard <= this->options.suspect_after;
}

std::vector<claimant> membership::claimants(core::steady_time now) const {
    std::vector<claimant> found;
    if (!this->leaving) {
        found.push_back({.host = this->options.self, .data_centre = this->options.data_centre});
    }
    for (const auto& [name, known] : this->peers) {
        if (this->is_recent(known, now) && !known.view.leaving) {
            found.push_back({.host = name, .data_centre = known.view.data_centre});
        }
    }
    return found;
}

std::vector<core::endpoint> membership::known_peers(core::steady_time now) const {
    std::set<core::endpoint> targets;
    for (const auto& host : this->listed_hosts) {
        if (host.name != this->options.self) {
            targets.insert(host.inner);
        }
    }
    for (const auto& [name, known] : this->peers) {
        if (this->is_recent(known, now)) {
            targets.insert(known.view.inner);
        }
    }
    return {targets.begin(), targets.end()};
}

bool membership::sends_heartbeats_here(const peer& known, core::steady_time now) const {
    return known.view.host < this->options.self &&
           now - known.last_heard <= this->options.heartbeat_interval + this->options.heartbeat_interval / 2;
}

std::vector<core::endpoint> membership::heartbeat_targets(core::steady_time now) const {
    std::set<core::endpoint> calling;
    for (const auto& [name, known] : this->peers) {
        if (this->sends_heartbeats_here(known, now)) {
            calling.insert(known.view.inner);
        }
    }
    auto targets = this->known_peers(now);
    std::erase_if(targets, [&](const auto& target) { return calling.contains(target); });
    return targets;
}

std::vector<core::host_id> membership::hosts_behind(core::log_offset next, core::steady_time now) const {
    std::set<core::host_id> missing;
    for (const auto& host : this->listed_hosts) {
        const auto known = this->peers.find(host.name);
        const bool heard = known != this->peers.end() && this->is_recent(known->second, now);
        if (host.name != this->options.self && (!heard || known->second.view.config_next < next)) {
            missing.insert(host.name);
        }
    }
    for (const auto& [name, known] : this->peers) {
        if (this->is_recent(known, now) && known.view.config_next < next) {
            missing.insert(name);
        }
    }
    return {missing.begin(), missing.end()};
}

const peer_view* membership::live_view(const core::host_id& host, core::steady_time now) const {
    const auto known = this->peers.find(host);
    return known != this->peers.end() && this->is_recent(known->second, now) ? &known->second.view : nullptr;
}

bool membership::is_live(const core::incarnation_id& incarnation, core::steady_time now) const {
    return std::ranges::any_of(this->peers, [&](const auto& entry) {
        return entry.second.view.incarnation == incarnation && this->is_recent(entry.second, now);
    });
}

const peer_view* membership::owner_of(core::shard_id shard, core::steady_time now) const {
    const peer_view* owner = nullptr;
    core::epoch_id newest;
    for (const auto* view : this->live_views(now)) {
        for (const auto& owned : view->shards) {
            if (owned.shard == shard && (owner == nullptr || owned.epoch > newest)) {
                owner = view;
                newest = owned.epoch;
            }
        }
    }
    return owner;
}

std::vector<const peer_view*> membership::live_views(core::steady_time now) const {
    std::vector<const peer_view*> views;
    for (const auto& [name, known] : this->peers) {
        if (this->is_recent(known, now)) {
            views.push_back(&known.view);
        }
    }
    return views;
}

} // namespace rattanmount::cell
