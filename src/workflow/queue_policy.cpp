#include "workflow/queue_policy.h"

#include <algorithm>
#include <cctype>

namespace rattanmount::workflow {

namespace {

bool equal_ignoring_case(const std::string& left, const std::string& right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

const queue_policy* configuration::policy_of(const queue_id& queue) const {
    const auto found = std::find_if(this->routes.begin(), this->routes.end(),
                                    [&](const queue_route& route) { return route.policy.queue == queue; });
    return found == this->routes.end() ? nullptr : &found->policy;
}

const tenancy::team_policy* configuration::team_of(const core::team_id& team) const {
    const auto found = std::find_if(this->teams.begin(), this->teams.end(),
                                    [&](const tenancy::team_policy& policy) { return policy.team == team; });
    return found == this->teams.end() ? nullptr : &*found;
}

const queue_route* configuration::route_of(const std::string& host, const std::string& path) const {
    const queue_route* best = nullptr;
    for (const auto& route : this->routes) {
        const bool longer = best == nullptr || route.path_prefix.size() > best->path_prefix.size();
        if (longer && path.starts_with(route.path_prefix) && equal_ignoring_case(route.host, host)) {
            best = &route;
        }
    }
    return best;
}

} // namespace rattanmount::workflow
