#pragma once

#include "core/ids.h"

#include <cstdint>

namespace rattanmount::scheduling {

/// How to free resources that a task uses, from the least to the most disruptive.
enum class preemption_kind : std::uint8_t {
    throttle,            ///< Limit its resource use to its effective size.
    checkpoint_and_stop, ///< Save its progress, then stop it.
    stop                 ///< Stop it: it has not checkpointed in time.
};

/// A decision to free resources for urgent work.
struct preemption {
    core::attempt_id attempt;
    core::worker_id worker;
    preemption_kind kind = preemption_kind::throttle;
    core::job_id for_job; ///< The urgent job that the resources are freed for.

    friend bool operator==(const preemption&, const preemption&) = default;
};

} // namespace rattanmount::scheduling
