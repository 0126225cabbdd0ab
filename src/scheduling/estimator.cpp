#include "scheduling/estimator.h"

namespace rattanmount::scheduling {

std::shared_ptr<estimate> estimator::find(const core::team_id& team, const core::pool_id& pool) {
    const entry_key key{.team = team, .pool = pool};
    const auto known = this->entries.find(key);
    if (known != this->entries.end()) {
        this->uses.splice(this->uses.begin(), this->uses, known->second.use);
        return known->second.value;
    }
    if (this->entries.size() >= this->most) {
        this->entries.erase(this->uses.back());
        this->uses.pop_back();
    }
    this->uses.push_front(key);
    const entry made{.value = std::make_shared<estimate>(), .use = this->uses.begin()};
    this->entries.emplace(key, made);
    return made.value;
}

} // namespace rattanmount::scheduling
