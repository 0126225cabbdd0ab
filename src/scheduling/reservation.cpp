#include "scheduling/reservation.h"

#include "scheduling/dimension.h"

namespace rattanmount::scheduling {

core::resources reservation::limit(row_index row, const core::resources& room,
                                   const std::optional<core::steady_time>& end) const {
    if (row >= this->spare.size() || !this->spare[row].has_value() || !this->at.has_value()) {
        return room;
    }
    if (end.has_value() && *end <= *this->at) {
        return room;
    }
    return smaller(room, *this->spare[row]);
}

void reservation::note(const holding& what, const std::optional<core::steady_time>& end) {
    const bool kept =
        what.row < this->spare.size() && this->spare[what.row].has_value() && this->at.has_value();
    if (!kept || (end.has_value() && *end <= *this->at)) {
        return;
    }
    *this->spare[what.row] -= what.occupied;
}

} // namespace rattanmount::scheduling
