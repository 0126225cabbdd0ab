#include "control/resource_overview.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace rattanmount::control {

resource_overview::resource_overview(const config_replica& config, const cell::cell_layout& layout,
                                     const cell::membership& members, const shard_table& shards)
    : config(config), layout(layout), members(members), shards(shards) {}

std::vector<cell::team_usage> resource_overview::local_usage() const {
    std::map<core::team_id, core::resources> held;
    for (const auto* controller : this->shards.owned()) {
        const auto& scheduler = controller->runner()->scheduler();
        for (const auto& team : scheduler.teams_with_allocations()) {
            held[team] += scheduler.team_allocation(team);
        }
    }
    std::vector<cell::team_usage> usage;
    for (const auto& [team, amount] : held) {
        if (amount != core::resources{}) {
            usage.push_back({.team = team, .held = amount});
        }
    }
    return usage;
}

core::resources resource_overview::total_usage(const core::team_id& team, core::steady_time now) const {
    core::resources held;
    for (const auto* view : this->members.live_views(now)) {
        for (const auto& usage : view->teams) {
            if (usage.team == team) {
                held += usage.held;
            }
        }
    }
    for (const auto* controller : this->shards.owned()) {
        held += controller->runner()->scheduler().team_allocation(team);
    }
    return held;
}

std::optional<core::shard_id> resource_overview::shard_with_room(const core::job_spec& spec,
                                                                 core::steady_time now) const {
    const auto* team = this->config.policies().last_team(spec.id.team);
    if (team == nullptr) {
        return std::nullopt;
    }
    const auto& region_shards = this->layout.shards_of(team->region);
    const auto needed = spec.kind == core::work_kind::gang ? spec.each * spec.tasks : spec.each;
    std::optional<core::shard_id> best;
    std::int64_t most_free = -1;
    const auto consider = [&](const cell::shard_view& view) {
        const bool usable = view.serving && view.waiting_tasks == 0 && spec.each.fits_in(view.largest_free) &&
                            needed.fits_in(view.free) &&
                            std::ranges::find(region_shards, view.shard) != region_shards.end();
        if (usable && view.free.millicores > most_free) {
            most_free = view.free.millicores;
            best = view.shard;
        }
    };
    for (const auto* peer : this->members.live_views(now)) {
        std::ranges::for_each(peer->shards, consider);
    }
    for (const auto* controller : this->shards.owned()) {
        consider(controller->view(now));
    }
    return best;
}

} // namespace rattanmount::control
