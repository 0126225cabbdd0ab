#pragma once

#include "core/time.h"

#include <cstdint>

namespace rattanmount::overload {

/// What a job can still achieve for its caller.
enum class prospect : std::uint8_t {
    on_time, ///< It can still end within its latency objective.
    late,    ///< It can still end within `late_factor` times the objective.
    overdue, ///< It cannot.
};

/// A job that ends after its latency objective, but within so many times the objective, is still of use.
inline constexpr int late_factor = 3;

/// What is known about a piece of work that waits to be started.
struct waiting_work {
    core::milliseconds waited{0};            ///< Since its job was due.
    core::milliseconds remaining{0};         ///< Estimate of the longest chain of work that is left.
    core::milliseconds latency_objective{0}; ///< Within this time after it was due its job should end.
    double core_seconds = 0;                 ///< Work that its job still needs; 0: not known.
};

/// What the caller of a job loses, as a share of what the job was to bring it: 0 if the job ends on time, 1
/// if it never ends. A job counts as much as another one of its priority, however large it is.
struct caller_loss {
    double if_started_now = 0;
    double if_started_later = 0; ///< After the delay that was asked about.
};

/// @param work a piece of work.
/// @param delay the time until it starts.
/// @return what it can achieve if it starts after the delay and takes as long as estimated.
[[nodiscard]] prospect prospect_after(const waiting_work& work, core::milliseconds delay);

/// @param work a piece of work.
/// @param delay how long it would wait if it does not start now.
/// @return what its caller loses in each case.
[[nodiscard]] caller_loss loss_of(const waiting_work& work, core::milliseconds delay);

/// @param work a piece of work.
/// @param delay how long it would wait if it does not start now.
/// @return what its caller loses by the delay, for each core-second that its job still needs: the higher it
/// is, the earlier the work should start. Work of a job that is nearly done is urgent.
[[nodiscard]] double urgency_of(const waiting_work& work, core::milliseconds delay);

} // namespace rattanmount::overload
