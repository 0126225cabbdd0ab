#include "routing/peer_selector.h"

#include <cassert>

namespace rattanmount::routing {

peer_selector::peer_selector(peer_selector_options options) : options(std::move(options)) {
    assert(this->options.random);
}

void peer_selector::update(const core::endpoint& peer, const std::vector<peer_capacity>& capacities) {
    std::erase_if(this->states, [&](const auto& entry) { return entry.second.capacity.peer == peer; });
    for (const auto& capacity : capacities) {
        this->states[{capacity.shard, capacity.service}] = {.capacity = capacity};
    }
}

std::optional<peer_choice> peer_selector::choose(const core::service_id& service) {
    std::vector<state*> free;
    std::vector<state*> busy;
    for (auto& [key, state] : this->states) {
        if (key.second != service || state.refused) {
            continue;
        }
        if (state.capacity.free_slots > 0) {
            free.push_back(&state);
        } else if (state.pending_requests < this->options.max_pending_per_shard) {
            busy.push_back(&state);
        }
    }
    const auto& candidates = free.empty() ? busy : free;
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto* chosen = candidates.at(this->options.random(candidates.size()));
    auto* other = candidates.at(this->options.random(candidates.size()));
    if (other->capacity.free_slots > chosen->capacity.free_slots) {
        chosen = other;
    }
    chosen->capacity.free_slots -= chosen->capacity.free_slots > 0 ? 1 : 0;
    ++chosen->pending_requests;
    return peer_choice{.shard = chosen->capacity.shard, .peer = chosen->capacity.peer};
}

void peer_selector::on_answer(core::shard_id shard, const core::service_id& service, bool refused) {
    const auto found = this->states.find({shard, service});
    if (found == this->states.end()) {
        return;
    }
    auto& state = found->second;
    state.pending_requests -= state.pending_requests > 0 ? 1 : 0;
    if (refused) {
        state.refused = true;
        state.capacity.free_slots = 0;
    }
}

} // namespace rattanmount::routing
