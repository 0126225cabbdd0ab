#include "dispatch/team_accounts.h"

namespace rattanmount::dispatch {

namespace {

/// @return the cap with amounts without a limit replaced by what is requested, so that these always fit.
core::resources limits_for(const core::resources& cap, const core::resources& requested) {
    return {.millicores = cap.millicores > 0 ? cap.millicores : requested.millicores,
            .memory_mb = cap.memory_mb > 0 ? cap.memory_mb : requested.memory_mb,
            .accelerators = cap.accelerators > 0 ? cap.accelerators : requested.accelerators};
}

} // namespace

void team_accounts::set_policies(const std::vector<tenancy::team_policy>& teams) {
    this->policies.clear();
    for (const auto& policy : teams) {
        this->policies.insert_or_assign(policy.team, policy);
    }
}

void team_accounts::reset() {
    this->reservations.clear();
}

void team_accounts::reserve(const core::team_id& team, const core::resources& amount) {
    if (!team.empty()) {
        this->reservations[team] += amount;
    }
}

void team_accounts::release(const core::team_id& team, const core::resources& amount) {
    const auto account = this->reservations.find(team);
    if (account == this->reservations.end()) {
        return;
    }
    account->second -= amount;
    if (account->second == core::resources{}) {
        this->reservations.erase(account);
    }
}

bool team_accounts::has_room(const core::team_id& team, const core::resources& amount) const {
    const auto* policy = this->policy_of(team);
    if (policy == nullptr) {
        return true;
    }
    const auto after = this->reserved(team) + amount;
    return after.fits_in(limits_for(policy->cap, after));
}

core::resources team_accounts::reserved(const core::team_id& team) const {
    const auto account = this->reservations.find(team);
    return account == this->reservations.end() ? core::resources{} : account->second;
}

const tenancy::team_policy* team_accounts::policy_of(const core::team_id& team) const {
    const auto found = this->policies.find(team);
    return found == this->policies.end() ? nullptr : &found->second;
}

} // namespace rattanmount::dispatch
