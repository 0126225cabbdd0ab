#pragma once

#include "core/ids.h"

#include <cstdint>

namespace rattanmount::scheduling {

/// What to do to a task that stands in the way of urgent work, the mildest first.
enum class preemption_kind : std::uint8_t {
    throttle,            ///< Bring its use back to the size that it is counted with.
    checkpoint_and_stop, ///< Save its progress, then stop it.
    stop                 ///< Stop it; it has not answered to a checkpoint in time.
};

/// A decision to make room for urgent work.
struct preemption {
    core::attempt_id attempt;
    core::worker_id worker;
    preemption_kind kind = preemption_kind::throttle;
    core::job_id for_job; ///< The urgent job that waits for the room.

    friend bool operator==(const preemption&, const preemption&) = default;
};

} // namespace rattanmount::scheduling
