#include "scheduling/estimate_cache.h"

namespace rattanmount::scheduling {

std::shared_ptr<estimate> estimate_cache::find(const core::team_id& team, const core::pool_id& pool) {
    const entry_key key{.team = team, .pool = pool};
    const auto known = this->entries.find(key);
    if (known != this->entries.end()) {
        this->lru.splice(this->lru.begin(), this->lru, known->second.lru_position);
        return known->second.value;
    }
    if (this->entries.size() >= this->max_entries) {
        this->entries.erase(this->lru.back());
        this->lru.pop_back();
    }
    this->lru.push_front(key);
    const entry added{.value = std::make_shared<estimate>(), .lru_position = this->lru.begin()};
    this->entries.emplace(key, added);
    return added.value;
}

} // namespace rattanmount::scheduling
