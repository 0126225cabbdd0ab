#include "dispatch/team_shares.h"

namespace rattanmount::dispatch {

namespace {

/// A use counts as above the mean only if it is so by more than this factor, so that rounding decides
/// nothing.
constexpr double tolerance = 1 + 1e-9;

core::resources capacity_of(const std::map<core::worker_id, worker_state>& workers) {
    core::resources sum;
    for (const auto& [id, worker] : workers) {
        sum += worker.listed ? worker.entry.capacity : core::resources{};
    }
    return sum;
}

/// @return the teams with a policy that have tasks running or waiting.
std::set<core::team_id> active_teams(const dispatch_state& state) {
    std::set<core::team_id> active;
    const auto add = [&](const core::team_id& team) {
        if (state.teams.policy_of(team) != nullptr) {
            active.insert(team);
        }
    };
    for (const auto& [team, amount] : state.teams.reserved_for_runs()) {
        add(team);
    }
    for (const auto& [key, step] : state.ready_steps) {
        add(step->job->team());
    }
    return active;
}

} // namespace

team_shares::team_shares(const dispatch_state& state) {
    if (!state.teams.has_policies()) {
        return;
    }
    const auto active = active_teams(state);
    const auto capacity = capacity_of(state.workers);
    const auto share_of = [&](const core::team_id& team) {
        return state.teams.reserved(team).dominant_share(capacity);
    };
    double shares = 0;
    double weights = 0;
    for (const auto& team : active) {
        shares += share_of(team);
        weights += state.teams.policy_of(team)->weight;
    }
    for (const auto& team : active) {
        const auto weight = state.teams.policy_of(team)->weight;
        if (weight <= 0 || share_of(team) * weights > shares * weight * tolerance) {
            this->over_share.insert(team);
        }
    }
}

team_standing team_shares::standing_of(const live_step& step) const {
    if (step.job->beyond_rate) {
        return team_standing::beyond_rate;
    }
    return this->over_share.contains(step.job->team()) ? team_standing::over_share
                                                       : team_standing::within_share;
}

} // namespace rattanmount::dispatch
