#include "control/policy_check.h"

#include "core/names.h"

namespace rattanmount::control {

std::optional<std::string> unknown_name_error(const release::policy_registry& policies,
                                              const core::team_id& team, const core::pool_id& pool,
                                              core::work_kind kind) {
    if (policies.team(team) == nullptr) {
        return "team '" + team.value() + "' is not in force";
    }
    const auto* policy = policies.pool(pool);
    if (policy == nullptr) {
        return "pool '" + pool.value() + "' is not in force";
    }
    if (policy->kind != kind) {
        return "pool '" + pool.value() + "' only accepts work of kind " +
               std::string{core::to_string(policy->kind)};
    }
    return std::nullopt;
}

} // namespace rattanmount::control
