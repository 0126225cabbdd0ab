#include "dispatch/step_order.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace rattanmount::dispatch {

namespace {

/// After so many starts of other steps, the oldest overdue step of each priority comes first.
constexpr std::uint32_t starts_per_overdue_one = 8;

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
    std::optional<std::uint32_t> served_priority; // The last priority whose oldest overdue step got its turn.
    for (const auto& [key, step] : ready) {
        const auto priority = std::get<0>(key);
        auto prospect = prospect_of(*step, now);
        const bool has_turn = prospect == step_prospect::overdue && served_priority != priority &&
                              this->starts_since_overdue >= starts_per_overdue_one;
        if (has_turn) {
            served_priority = priority;
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
    if (prospect_of(step, now) == step_prospect::overdue) {
        this->starts_since_overdue = 0;
    } else {
        this->starts_since_overdue++;
    }
}

} // namespace rattanmount::dispatch
