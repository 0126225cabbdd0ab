#include "dispatch/step_order.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
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

constexpr double most_urgent = std::numeric_limits<double>::max();

std::size_t index_of(overload::prospect prospect) {
    return static_cast<std::size_t>(prospect);
}

/// What decides the order among steps of one priority.
struct outlook {
    /// What the step can still achieve if it starts now and takes as long as its job estimates.
    overload::prospect prospect = overload::prospect::on_time;
    /// What its caller loses for each core-second if it waits until it cannot be of use any more.
    double urgency = most_urgent;
};

outlook outlook_of(const live_step& step, core::steady_time now) {
    if (step.request->long_running) {
        return {}; // It has no end that could be late.
    }
    const auto work = waiting_work_of(step, now);
    return {.prospect = overload::prospect_after(work, core::milliseconds{0}),
            .urgency = overload::urgency_of(work, work.latency_objective * overload::late_factor)};
}

} // namespace

overload::waiting_work waiting_work_of(const live_step& step, core::steady_time now) {
    using seconds = std::chrono::duration<double>;
    constexpr double millicores_per_core = 1000;
    double core_seconds = 0;
    for (const auto& one : step.job->occurrences.at(step.name.occurrence).steps) {
        const auto left = static_cast<double>(one.tasks.size() - one.done_tasks);
        const auto cores = static_cast<double>(one.request->each.millicores) / millicores_per_core;
        core_seconds += left * cores * seconds{one.request->estimate}.count();
    }
    return {.waited = std::chrono::duration_cast<core::milliseconds>(now - step.due_at),
            .remaining = step.remaining_work,
            .latency_objective = step.job->latency_objective,
            .core_seconds = core_seconds};
}

std::vector<live_step*> step_order::arrange(const std::map<step_sort_key, live_step*>& ready,
                                            const standing_hook& standing_of, core::steady_time now) const {
    struct entry {
        std::uint32_t priority;
        team_standing standing;
        outlook ahead;
        live_step* step;
    };
    std::vector<entry> entries;
    entries.reserve(ready.size());
    // The last priority in which the oldest step of a standing and prospect, or of a standing, got its turn.
    std::array<std::array<std::optional<std::uint32_t>, 3>, 3> served_by_prospect;
    std::array<std::optional<std::uint32_t>, 3> served_by_standing;
    for (const auto& [key, step] : ready) {
        const auto standing = standing_of(*step);
        if (!standing) {
            continue;
        }
        const auto priority = std::get<0>(key);
        auto& turn = served_by_standing.at(index_of(*standing));
        if (this->has_turn(*standing) && turn != priority) {
            turn = priority; // Sorted as on time and most urgent, so that it comes first.
            entries.push_back(
                {.priority = priority, .standing = team_standing::within_share, .ahead = {}, .step = step});
            continue;
        }
        auto ahead = outlook_of(*step, now);
        auto& served = served_by_prospect.at(index_of(*standing)).at(index_of(ahead.prospect));
        if (this->has_turn(ahead.prospect) && served != priority) {
            served = priority;
            ahead = {}; // As above.
        }
        entries.push_back({.priority = priority, .standing = *standing, .ahead = ahead, .step = step});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const entry& a, const entry& b) {
        return std::tie(a.priority, a.standing, a.ahead.prospect, b.ahead.urgency) <
               std::tie(b.priority, b.standing, b.ahead.prospect, a.ahead.urgency);
    });
    std::vector<live_step*> order;
    order.reserve(entries.size());
    for (const auto& one : entries) {
        order.push_back(one.step);
    }
    return order;
}

void step_order::on_started(team_standing standing) {
    for (auto& count : this->starts_of_other_standings) {
        count++;
    }
    this->starts_of_other_standings.at(index_of(standing)) = 0;
}

void step_order::on_started(const live_step& step, core::steady_time now) {
    for (auto& count : this->starts_of_other_prospects) {
        count++;
    }
    this->starts_of_other_prospects.at(index_of(outlook_of(step, now).prospect)) = 0;
}

bool step_order::has_turn(overload::prospect prospect) const {
    const auto others = this->starts_of_other_prospects.at(index_of(prospect));
    return (prospect == overload::prospect::late && others >= starts_per_late_one) ||
           (prospect == overload::prospect::overdue && others >= starts_per_overdue_one);
}

bool step_order::has_turn(team_standing standing) const {
    const auto others = this->starts_of_other_standings.at(index_of(standing));
    return (standing == team_standing::over_share && others >= starts_per_over_share_one) ||
           (standing == team_standing::beyond_rate && others >= starts_per_beyond_rate_one);
}

} // namespace rattanmount::dispatch
