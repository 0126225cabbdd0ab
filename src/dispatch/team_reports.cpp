#include "dispatch/team_reports.h"

#include "telemetry/logging.h"

#include <string>
#include <utility>

namespace rattanmount::dispatch {

namespace {

/// Shortest time between two lines about one team.
constexpr core::milliseconds log_interval{5000};

void log_report(const core::team_id& team, const team_accounts& accounts, bool held) {
    const auto* policy = accounts.policy_of(team);
    if (policy == nullptr) {
        return;
    }
    telemetry::log_state(held ? "team has reached its cap" : "team has room under its cap again",
                         {{"team", team.value()},
                          {"reserved", accounts.reserved(team).text()},
                          {"cap", policy->cap.text()},
                          {"weight", std::to_string(policy->weight)}});
}

} // namespace

void team_reports::log_changes(const dispatch_state& state, core::steady_time now) {
    const auto held_now = std::exchange(this->held, {});
    for (const auto& team : held_now) {
        this->reported.try_emplace(team);
    }
    for (auto& [team, report] : this->reported) {
        const bool held = held_now.contains(team);
        if (held == report.held || now < report.logged_at + log_interval) {
            continue;
        }
        report = {.held = held, .logged_at = now};
        log_report(team, state.teams, held);
    }
}

void team_reports::reset() {
    this->held.clear();
    this->reported.clear();
}

} // namespace rattanmount::dispatch
