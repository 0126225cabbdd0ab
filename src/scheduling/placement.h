#pragma once

#include "core/ids.h"

#include <cstdint>

namespace rattanmount::scheduling {

/// A decision to start one task; its room is taken from the moment of the decision.
struct placement {
    core::job_id job;
    std::uint32_t task = 0;
    core::worker_id worker;

    friend bool operator==(const placement&, const placement&) = default;
};

} // namespace rattanmount::scheduling
