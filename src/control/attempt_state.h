#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace rattanmount::control {

/// Progress of an attempt that is not known to have ended.
enum class attempt_phase : std::uint8_t {
    recording, ///< Placed; its record is being written, and no start was sent.
    sending,   ///< A start was sent, and its result is not known.
    running,   ///< Its worker has confirmed it.
    adopted,   ///< A former owner recorded it; its worker has not confirmed it to this host.
};

/// State of an attempt that is not known to have ended.
struct attempt_state {
    attempt_phase phase = attempt_phase::recording;
    core::worker_id worker;
    /// When the worker last confirmed the attempt, or when it was placed or sent.
    core::steady_time confirmed_at;
    bool recorded = false;
    bool stop_wanted = false;
    bool counted = false; ///< The scheduler accounts for its resources under this attempt.
};

/// The end of an attempt.
struct ended_attempt {
    core::attempt_id attempt;
    core::attempt_end end = core::attempt_end::lost;
    std::string reason;
    core::milliseconds run_time{0}; ///< 0 if it is not known.
    core::resources used;           ///< Empty if it is not known.
};

} // namespace rattanmount::control
