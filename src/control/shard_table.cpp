#include "control/shard_table.h"

#include <algorithm>
#include <utility>

namespace rattanmount::control {

shard_controller& shard_table::add(core::shard_id shard, std::unique_ptr<shard_controller> controller) {
    return *(this->controllers[shard] = std::move(controller));
}

void shard_table::tick(core::steady_time now) {
    for (const auto& [shard, controller] : this->controllers) {
        controller->tick(now);
    }
    std::erase_if(this->controllers, [this](const auto& entry) {
        this->next_sequences[entry.first] = entry.second->next_sequence();
        return entry.second->phase() == shard_phase::released;
    });
}

void shard_table::drop_all() {
    for (const auto& [shard, controller] : this->controllers) {
        this->next_sequences[shard] = controller->next_sequence();
    }
    this->controllers.clear();
}

shard_controller* shard_table::find(core::shard_id shard) const {
    const auto found = this->controllers.find(shard);
    return found == this->controllers.end() ? nullptr : found->second.get();
}

shard_controller* shard_table::find_owned(core::shard_id shard) const {
    auto* controller = this->find(shard);
    return controller != nullptr && controller->owned() ? controller : nullptr;
}

shard_controller* shard_table::find_stream(const core::stream_id& stream) const {
    const auto found = std::ranges::find_if(
        this->controllers, [&](const auto& entry) { return entry.second->stream() == stream; });
    return found == this->controllers.end() ? nullptr : found->second.get();
}

core::sequence_number shard_table::next_sequence(core::shard_id shard) const {
    const auto next = this->next_sequences.find(shard);
    return next == this->next_sequences.end() ? core::sequence_number{1} : next->second;
}

std::vector<shard_controller*> shard_table::owned() const {
    std::vector<shard_controller*> found;
    for (const auto& [shard, controller] : this->controllers) {
        if (controller->owned()) {
            found.push_back(controller.get());
        }
    }
    return found;
}

std::size_t shard_table::owned_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->controllers, [](const auto& entry) { return entry.second->owned(); }));
}

} // namespace rattanmount::control
