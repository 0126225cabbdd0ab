#pragma once

#include "core/ids.h"
#include "core/resources.h"

namespace rattanmount::scheduling {

/// The properties of a worker as they are given to the scheduler.
struct worker_info {
    core::worker_id name;
    core::rack_id rack;
    core::data_centre_id data_centre;
    core::resources capacity;

    friend bool operator==(const worker_info&, const worker_info&) = default;
};

} // namespace rattanmount::scheduling
