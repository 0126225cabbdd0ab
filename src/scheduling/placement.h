#pragma once

#include "core/ids.h"

#include <cstdint>

namespace rattanmount::scheduling {

/// A decision to start one task. Its resources are allocated as soon as the decision is made.
struct placement {
    core::job_id job;
    std::uint32_t task = 0;
    core::worker_id worker;

    friend bool operator==(const placement&, const placement&) = default;
};

} // namespace rattanmount::scheduling
