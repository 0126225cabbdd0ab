#pragma once

#include "dispatch/placement_explanation.h"

#include <vector>

namespace rattanmount::dispatch {

/// The terms of the cost of starting a task on a worker; the worker with the lowest sum is chosen.
///
/// A value type.
struct placement_cost {
    double room = 0;         ///< What the task leaves free, so that large tasks still find room.
    double interference = 0; ///< Runs there that disturb the task or are disturbed by it.
    double wrong_rack = 0;   ///< The data of the task are in another rack.
    double failures = 0;     ///< Recent failures of runs there.
    double speed = 0;        ///< How much later the task ends there, or how well a fast worker is used.

    /// @return the sum of the terms.
    [[nodiscard]] double total() const {
        return this->room + this->interference + this->wrong_rack + this->failures + this->speed;
    }

    /// @return the terms with their names.
    [[nodiscard]] std::vector<cost_term> named() const {
        return {{.name = "room", .value = this->room},
                {.name = "interference", .value = this->interference},
                {.name = "wrong_rack", .value = this->wrong_rack},
                {.name = "failures", .value = this->failures},
                {.name = "speed", .value = this->speed}};
    }
};

} // namespace rattanmount::dispatch
