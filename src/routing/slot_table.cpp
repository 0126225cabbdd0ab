#include "routing/slot_table.h"

#include <algorithm>
#include <set>

namespace rattanmount::routing {

slot_table::slot_table(slot_table_options options) : options(options) {}

void slot_table::set_executors(const std::vector<executor_info>& listed) {
    for (auto& [name, state] : this->executors) {
        state.listed = false;
    }
    for (const auto& info : listed) {
        auto& state = this->executors[info.name];
        state.info = info;
        state.listed = true;
    }
    std::erase_if(this->executors,
                  [](const auto& entry) { return !entry.second.listed && entry.second.used == 0; });
}

std::optional<slot> slot_table::reserve(const core::service_id& service, core::milliseconds limit,
                                        core::steady_time now) {
    if (now < this->held_until) {
        return std::nullopt;
    }
    executor_state* best = nullptr;
    for (auto& [name, state] : this->executors) {
        const bool usable = state.listed && state.info.service == service && state.used < state.info.slots;
        if (usable && (best == nullptr || state.info.slots - state.used > best->info.slots - best->used)) {
            best = &state;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->used;
    const auto grant = this->next_grant++;
    this->grants[grant] =
        grant_state{.executor = best->info.name, .over = now + limit + this->options.release_margin};
    return slot{.grant = grant, .executor = best->info.name, .address = best->info.address};
}

void slot_table::release(std::uint64_t grant) {
    const auto found = this->grants.find(grant);
    if (found == this->grants.end()) {
        return;
    }
    const auto executor = this->executors.find(found->second.executor);
    if (executor != this->executors.end() && executor->second.used > 0) {
        --executor->second.used;
    }
    this->grants.erase(found);
}

void slot_table::expire(core::steady_time now) {
    std::vector<std::uint64_t> over;
    for (const auto& [grant, state] : this->grants) {
        if (now >= state.over) {
            over.push_back(grant);
        }
    }
    for (const auto grant : over) {
        this->release(grant);
    }
}

std::uint32_t slot_table::free_slots(const core::service_id& service, core::steady_time now) const {
    if (now < this->held_until) {
        return 0;
    }
    std::uint32_t free = 0;
    for (const auto& [name, state] : this->executors) {
        if (state.listed && state.info.service == service) {
            free += state.info.slots - std::min(state.info.slots, state.used);
        }
    }
    return free;
}

std::vector<core::service_id> slot_table::services() const {
    std::set<core::service_id> found;
    for (const auto& [name, state] : this->executors) {
        if (state.listed) {
            found.insert(state.info.service);
        }
    }
    return {found.begin(), found.end()};
}

} // namespace rattanmount::routing
