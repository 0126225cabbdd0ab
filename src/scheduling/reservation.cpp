#include "scheduling/reservation.h"

#include "scheduling/dimension.h"

namespace rattanmount::scheduling {

core::resources
reservation::available_to_others(row_index row, const core::resources& free,
                                 const std::optional<core::steady_time>& estimated_end) const {
    if (row >= this->spare.size() || !this->spare[row].has_value() || !this->start_at.has_value()) {
        return free;
    }
    if (estimated_end.has_value() && *estimated_end <= *this->start_at) {
        return free;
    }
    return elementwise_min(free, *this->spare[row]);
}

void reservation::charge(const allocation& alloc, const std::optional<core::steady_time>& estimated_end) {
    const bool is_reserved =
        alloc.row < this->spare.size() && this->spare[alloc.row].has_value() && this->start_at.has_value();
    if (!is_reserved || (estimated_end.has_value() && *estimated_end <= *this->start_at)) {
        return;
    }
    *this->spare[alloc.row] -= alloc.occupied;
}

} // namespace rattanmount::scheduling
