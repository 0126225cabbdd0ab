#pragma once

#include "core/resources.h"
#include "scheduling/holding.h"
#include "scheduling/worker_info.h"

#include <vector>

namespace rattanmount::scheduling {

/// Whether a worker that failed too often may get tasks.
enum class worker_standing : std::uint8_t { good, set_aside, probing };

/// One worker with all that is counted on it.
struct worker_row {
    worker_info info;
    bool present = false;
    bool accepting = false;
    worker_standing standing = worker_standing::good;
    std::uint32_t rack = 0;          ///< Number of the rack in the table.
    core::resources occupied;        ///< By all holdings.
    core::resources occupied_normal; ///< By holdings of pools that are not urgent.
    core::resources reserve;         ///< Kept for urgent pools.
    std::vector<holding*> holdings;

    /// @return whether it may get tasks.
    [[nodiscard]] bool open() const {
        return this->present && this->accepting && this->standing == worker_standing::good;
    }

    /// @param urgent whether the reserve may be used.
    /// @return the room, whatever the worker's standing; may be negative.
    [[nodiscard]] core::resources room(bool urgent) const {
        const auto all = this->info.capacity - this->occupied;
        if (urgent) {
            return all;
        }
        return smaller(all, this->info.capacity - this->reserve - this->occupied_normal);
    }
};

} // namespace rattanmount::scheduling
