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
                                            core::steady_time now) const {
    struct entry {
        std::uint32_t priority;
        step_prospect prospect;
        live_step* step;
    };
    std::vector<entry> entries;
    entries.reserve(ready.size());
    // The last priority of which a step with this prospect got its turn.
    std::array<std::optional<std::uint32_t>, 3> served_priority;
    for (const auto& [key, step] : ready) {
        const auto priority = std::get<0>(key);
        auto prospect = prospect_of(*step, now);
        auto& served = served_priority.at(index_of(prospect));
        if (this->has_turn(prospect) && served != priority) {
            served = priority;
            prospect = step_prospect::on_time;
        }
        entries.push_back({.priority = priority, .prospect = prospect, .step = step});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const entry& a, const entry& b) {
        return std::tie(a.priority, a.prospect) < std::tie(b.priority, b.prospect);
    });
    std::vector<live_step*> order;
    order.reserve(entries.size());
    for (const auto& one : entries) {
        order.push_back(one.step);
    }
    return order;
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

} // namespace rattanmount::dispatch
