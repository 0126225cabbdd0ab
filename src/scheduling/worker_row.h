#pragma once

#include "core/resources.h"
#include "scheduling/allocation.h"
#include "scheduling/worker_info.h"

#include <vector>

namespace rattanmount::scheduling {

/// Whether a worker that failed too often may get tasks.
enum class worker_health : std::uint8_t { healthy, quarantined, probing };

/// One worker with all that is counted on it.
struct worker_row {
    worker_info info;
    bool present = false;
    bool accepting = false;
    worker_health health = worker_health::healthy;
    std::uint32_t rack = 0;          ///< Number of the rack in the table.
    core::resources occupied;        ///< By all holdings.
    core::resources occupied_normal; ///< By holdings of pools that are not urgent.
    core::resources reserve;         ///< Kept for urgent pools.
    std::vector<allocation*> holdings;

    /// @return whether it may get tasks.
    [[nodiscard]] bool is_schedulable() const {
        return this->present && this->accepting && this->health == worker_health::healthy;
    }

    /// @param urgent whether the reserve may be used.
    /// @return the room, whatever the worker's standing; may be negative.
    [[nodiscard]] core::resources free(bool urgent) const {
        const auto all = this->info.capacity - this->occupied;
        if (urgent) {
            return all;
        }
        return elementwise_min(all, this->info.capacity - this->reserve - this->occupied_normal);
    }
};

} // namespace rattanmount::scheduling
