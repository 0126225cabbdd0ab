#pragma once

#include "core/resources.h"
#include "scheduling/allocation.h"
#include "scheduling/worker_info.h"

#include <vector>

namespace rattanmount::scheduling {

/// Whether a worker may get tasks as far as its recent failures are concerned.
enum class worker_health : std::uint8_t { healthy, quarantined, probing };

/// One worker with its allocations and their sums.
struct worker_row {
    worker_info info;
    bool present = false;
    bool accepting = false;
    worker_health health = worker_health::healthy;
    std::uint32_t rack = 0;          ///< The rack's number in worker_table.
    core::resources occupied;        ///< By all allocations.
    core::resources occupied_normal; ///< By allocations of pools that are not urgent.
    core::resources reserve;         ///< Reserved for urgent pools.
    std::vector<allocation*> allocations;

    /// @return whether it may get tasks other than probes.
    [[nodiscard]] bool is_schedulable() const {
        return this->present && this->accepting && this->health == worker_health::healthy;
    }

    /// @param urgent whether the urgent reserve may be used.
    /// @return the free resources, even if the worker may get no tasks; may be negative.
    [[nodiscard]] core::resources free(bool urgent) const {
        const auto all = this->info.capacity - this->occupied;
        if (urgent) {
            return all;
        }
        return elementwise_min(all, this->info.capacity - this->reserve - this->occupied_normal);
    }
};

} // namespace rattanmount::scheduling
