#include "dispatch/step_order.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <tuple>

namespace rattanmount::dispatch {

namespace {

/// After so many starts of other steps, the oldest late or overdue step of each priority comes first.
constexpr std::uint32_t starts_per_late_one = 2;
constexpr std::uint32_t starts_per_overdue_one = 8;
/// After so many starts of other steps, the oldest step of each priority with this standing comes first.
constexpr std::uint32_t starts_per_over_share_one = 8;
constexpr std::uint32_t starts_per_beyond_rate_one = 32;

std::size_t index_of(team_standing standing) {
    return static_cast<std::size_t>(standing);
}

std::size_t index_of(step_prospect prospect) {
    return static_cast<std::size_t>(prospect);
}

} // namespace

step_prospect prospect_of(const live_step& step, core::steady_time now) {
    if (step.request->long_running) {
        return step_prospect::on_time;
    }
    const auto ends_after = now - step.due_at + step.remaining_work;
    if (ends_after <= step.job->latency_objective) {
        return step_prospect::on_time;
    }
    return ends_after <= step.job->latency_objective * late_factor ? step_prospect::late
                                                                   : step_prospect::overdue;
}

std::vector<live_step*> step_order::arrange(const std::map<step_sort_key, live_step*>& ready,
                                            const standing_hook& standing_of, core::steady_time now) const {
    struct entry {
        std::uint32_t priority;
        team_standing standing;
        step_prospect prospect;
        live_step* step;
    };
    std::vector<entry> entries;
    entries.reserve(ready.size());
    // The last priority of which a step with this standing and prospect, or with this standing, got its turn.
    std::array<std::array<std::optional<std::uint32_t>, 3>, 3> served_priorities;
    std::array<std::optional<std::uint32_t>, 3> priority_of_turn;
    for (const auto& [key, step] : ready) {
        const auto standing = standing_of(*step);
        if (!standing) {
            continue;
        }
        const auto priority = std::get<0>(key);
        auto& turn = priority_of_turn.at(index_of(*standing));
        if (this->has_turn(*standing) && turn != priority) {
            turn = priority;
            entries.push_back({.priority = priority,
                               .standing = team_standing::within_share,
                               .prospect = step_prospect::on_time,
                               .step = step});
            continue;
        }
        auto prospect = prospect_of(*step, now);
        auto& served = served_priorities.at(index_of(*standing)).at(index_of(prospect));
        if (this->has_turn(prospect) && served != priority) {
            served = priority;
            prospect = step_prospect::on_time;
        }
        entries.push_back({.priority = priority, .standing = *standing, .prospect = prospect, .step = step});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const entry& a, const entry& b) {
        return std::tie(a.priority, a.standing, a.prospect) < std::tie(b.priority, b.standing, b.prospect);
    });
    std::vector<live_step*> order;
    order.reserve(entries.size());
    for (const auto& one : entries) {
        order.push_back(one.step);
    }
    return order;
}

void step_order::on_started(team_standing standing) {
    for (auto& count : this->starts_of_other_teams) {
        count++;
    }
    this->starts_of_other_teams.at(index_of(standing)) = 0;
}

void step_order::on_started(const live_step& step, core::steady_time now) {
    for (auto& count : this->other_starts) {
        count++;
    }
    this->other_starts.at(index_of(prospect_of(step, now))) = 0;
}

bool step_order::has_turn(step_prospect prospect) const {
    const auto others = this->other_starts.at(index_of(prospect));
    return (prospect == step_prospect::late && others >= starts_per_late_one) ||
           (prospect == step_prospect::overdue && others >= starts_per_overdue_one);
}

bool step_order::has_turn(team_standing standing) const {
    const auto others = this->starts_of_other_teams.at(index_of(standing));
    return (standing == team_standing::over_share && others >= starts_per_over_share_one) ||
           (standing == team_standing::beyond_rate && others >= starts_per_beyond_rate_one);
}

} // namespace rattanmount::dispatch
