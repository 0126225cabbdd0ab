#include "routing/slot_table.h"

#include <set>
#include <utility>

namespace rattanmount::routing {

slot_table::slot_table(slot_table_options options) : options(std::move(options)) {}

void slot_table::set_executors(const std::vector<executor_info>& listed) {
    for (auto& [name, state] : this->executors) {
        state.listed = false;
    }
    for (const auto& info : listed) {
        const auto known = this->executors.find(info.name);
        auto& state =
            known != this->executors.end()
                ? known->second
                : this->executors
                      .emplace(info.name, executor_state{.breaker = circuit_breaker{this->options.circuit}})
                      .first->second;
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
        if (is_usable(state, service, now) &&
            (best == nullptr || state.info.slots - state.used > best->info.slots - best->used)) {
            best = &state;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->used;
    best->breaker.on_sent(now);
    const auto grant = this->next_grant++;
    this->grants[grant] =
        grant_state{.executor = best->info.name, .expires_at = now + limit + this->options.release_margin};
    return slot{.grant = grant, .executor = best->info.name, .address = best->info.address};
}

bool slot_table::is_usable(const executor_state& state, const core::service_id& service,
                           core::steady_time now) {
    return state.listed && state.info.service == service && state.used < state.info.slots &&
           state.breaker.allows(now);
}

void slot_table::release(std::uint64_t grant, slot_end end, core::steady_time now) {
    const auto found = this->grants.find(grant);
    if (found == this->grants.end() || found->second.lost) {
        return;
    }
    this->update_breaker(found->second.executor, end, now);
    if (end == slot_end::lost) {
        found->second.lost = true;
        return;
    }
    this->erase_grant(grant);
}

void slot_table::update_breaker(const core::executor_id& name, slot_end end, core::steady_time now) {
    const auto found = this->executors.find(name);
    if (found == this->executors.end()) {
        return;
    }
    auto& state = found->second;
    switch (end) {
    case slot_end::answered:
        state.breaker.on_success();
        break;
    case slot_end::unsent:
        state.breaker.on_inconclusive();
        break;
    case slot_end::refused:
    case slot_end::lost:
        state.breaker.on_failure(now);
        break;
    }
    const bool open = state.breaker.state(now) != circuit_state::closed;
    if (open != state.reported_open && this->options.on_circuit_change) {
        this->options.on_circuit_change(name, open);
    }
    state.reported_open = open;
}

void slot_table::erase_grant(std::uint64_t grant) {
    const auto found = this->grants.find(grant);
    const auto executor = this->executors.find(found->second.executor);
    if (executor != this->executors.end()) {
        --executor->second.used;
    }
    this->grants.erase(found);
}

void slot_table::expire(core::steady_time now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [grant, state] : this->grants) {
        if (now >= state.expires_at) {
            expired.push_back(grant);
        }
    }
    for (const auto grant : expired) {
        const auto& state = this->grants.at(grant);
        if (!state.lost) {
            // The end was never reported: the entry host has failed or its report was lost.
            this->update_breaker(state.executor, slot_end::unsent, now);
        }
        this->erase_grant(grant);
    }
}

std::uint32_t slot_table::free_slots(const core::service_id& service, core::steady_time now) const {
    if (now < this->held_until) {
        return 0;
    }
    std::uint32_t free = 0;
    for (const auto& [name, state] : this->executors) {
        if (is_usable(state, service, now)) {
            free += state.info.slots - state.used;
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
