#include "dispatch/team_accounts.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattanmount::dispatch {

namespace {

constexpr auto unlimited_tasks = std::numeric_limits<std::size_t>::max();

core::resources amount_of(const team_accounts::amounts& amounts, const core::team_id& team) {
    const auto found = amounts.find(team);
    return found == amounts.end() ? core::resources{} : found->second;
}

void add(team_accounts::amounts& amounts, const core::team_id& team, const core::resources& amount) {
    if (!team.empty()) {
        amounts[team] += amount;
    }
}

void subtract(team_accounts::amounts& amounts, const core::team_id& team, const core::resources& amount) {
    const auto found = amounts.find(team);
    if (found == amounts.end()) {
        return;
    }
    found->second -= amount;
    if (found->second == core::resources{}) {
        amounts.erase(found);
    }
}

/// @return how many tasks a limit leaves room for.
std::size_t tasks_in(std::int64_t limit, std::int64_t used, std::int64_t each) {
    if (limit <= 0 || each <= 0) {
        return limit > 0 && used > limit ? 0 : unlimited_tasks;
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(limit - used, 0) / each);
}

} // namespace

core::resources limits_of(const core::resources& cap, const core::resources& amount) {
    return {.millicores = cap.millicores > 0 ? cap.millicores : amount.millicores,
            .memory_mb = cap.memory_mb > 0 ? cap.memory_mb : amount.memory_mb,
            .accelerators = cap.accelerators > 0 ? cap.accelerators : amount.accelerators};
}

bool team_accounts::set_policies(const std::vector<tenancy::team_policy>& teams) {
    std::map<core::team_id, tenancy::team_policy> updated;
    for (const auto& policy : teams) {
        auto& own = updated[policy.team];
        own = policy;
        own.keys.clear();
    }
    const bool changed = updated != this->policies;
    this->policies = std::move(updated);
    return changed;
}

void team_accounts::reset() {
    this->runs.clear();
    this->places.clear();
    this->unknown_runs.clear();
}

void team_accounts::reserve(const core::team_id& team, const core::resources& amount) {
    add(this->runs, team, amount);
}

void team_accounts::release(const core::team_id& team, const core::resources& amount) {
    subtract(this->runs, team, amount);
}

void team_accounts::reserve_place(const core::team_id& team, const core::resources& amount) {
    add(this->places, team, amount);
}

void team_accounts::release_place(const core::team_id& team, const core::resources& amount) {
    subtract(this->places, team, amount);
}

bool team_accounts::set_unknown(amounts unknown) {
    const bool changed = unknown != this->unknown_runs;
    this->unknown_runs = std::move(unknown);
    return changed;
}

bool team_accounts::has_room(const core::team_id& team, const core::resources& amount) const {
    return this->fits(team, amount_of(this->places, team) + amount);
}

bool team_accounts::has_room_without_places(const core::team_id& team, const core::resources& amount) const {
    return this->fits(team, amount);
}

std::size_t team_accounts::tasks_within_cap(const core::team_id& team, const core::resources& each) const {
    const auto* policy = this->policy_of(team);
    if (policy == nullptr) {
        return unlimited_tasks;
    }
    const auto used = this->reserved(team) + amount_of(this->unknown_runs, team);
    const auto& cap = policy->cap;
    return std::min({tasks_in(cap.millicores, used.millicores, each.millicores),
                     tasks_in(cap.memory_mb, used.memory_mb, each.memory_mb),
                     tasks_in(cap.accelerators, used.accelerators, each.accelerators)});
}

bool team_accounts::fits(const core::team_id& team, const core::resources& amount) const {
    const auto* policy = this->policy_of(team);
    if (policy == nullptr) {
        return true;
    }
    const auto after = amount_of(this->runs, team) + amount_of(this->unknown_runs, team) + amount;
    return after.fits_in(limits_of(policy->cap, after));
}

core::resources team_accounts::reserved(const core::team_id& team) const {
    return amount_of(this->runs, team) + amount_of(this->places, team);
}

const tenancy::team_policy* team_accounts::policy_of(const core::team_id& team) const {
    const auto found = this->policies.find(team);
    return found == this->policies.end() ? nullptr : &found->second;
}

} // namespace rattanmount::dispatch
