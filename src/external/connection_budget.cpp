#include "external/connection_budget.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::external {

connection_budget::connection_budget(std::size_t maximum) : maximum(maximum) {
    assert(maximum > 0);
}

bool connection_budget::take(core::steady_time now) {
    if (this->used(now) >= this->maximum) {
        return false;
    }
    ++this->open;
    return true;
}

void connection_budget::give_back() {
    assert(this->open > 0);
    --this->open;
}

void connection_budget::linger(core::steady_time until) {
    this->give_back();
    this->lingering.insert(std::upper_bound(this->lingering.begin(), this->lingering.end(), until), until);
}

std::size_t connection_budget::used(core::steady_time now) {
    while (!this->lingering.empty() && this->lingering.front() <= now) {
        this->lingering.pop_front();
    }
    return this->open + this->lingering.size();
}

std::optional<core::steady_time> connection_budget::next_release() const {
    if (this->lingering.empty()) {
        return std::nullopt;
    }
    return this->lingering.front();
}

} // namespace rattanmount::external
