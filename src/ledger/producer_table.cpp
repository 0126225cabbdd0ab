#include "ledger/producer_table.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::ledger {

producer_table::producer_table(std::size_t capacity) : capacity(capacity) {
    assert(capacity >= 1);
}

bool producer_table::is_duplicate(const core::incarnation_id& producer,
                                  core::sequence_number sequence) const {
    const auto found = std::find_if(this->producers.rbegin(), this->producers.rend(),
                                    [&](const entry& one) { return one.producer == producer; });
    return found != this->producers.rend() && sequence <= found->last_sequence;
}

void producer_table::mark_applied(const core::incarnation_id& producer, core::sequence_number sequence) {
    if (!this->producers.empty() && this->producers.back().producer == producer) {
        this->producers.back().last_sequence = sequence;
        return;
    }
    std::erase_if(this->producers, [&](const entry& one) { return one.producer == producer; });
    this->producers.push_back({.producer = producer, .last_sequence = sequence});
    if (this->producers.size() > this->capacity) {
        this->producers.erase(this->producers.begin());
    }
}

void producer_table::clear() {
    this->producers.clear();
}

} // namespace rattanmount::ledger
