#pragma once

#include "core/time.h"
#include "overload/delay_cost.h"
#include "overload/load_report.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace rattanmount::overload {

/// Why a job is not accepted.
enum class rejection_reason : std::uint8_t {
    backlog,   ///< Behind the work that waits it could not end while it is of use.
    team_rate, ///< Its team sends more jobs than it may, and the cell has no room for all.
    too_large, ///< No worker, or no cap, is large enough for it, so that it can never run.
};

/// The decision about a job that arrives.
struct admission_decision {
    /// Empty: the job is accepted.
    std::optional<rejection_reason> rejected;
    /// When a new try is worth it. Spread over the callers; shorter for those who lose more by waiting.
    core::milliseconds retry_after{0};
    core::milliseconds expected_wait{0}; ///< What the decision rests on.
    core::milliseconds report_age{0};    ///< Age of the report that it rests on.
};

/// What is known about a job that arrives.
struct arriving_job {
    queue_name queue;
    waiting_work work;
    bool long_running = false;
    bool beyond_rate = false;   ///< Its team has sent more jobs than it may.
    double random_fraction = 0; ///< From 0 to 1; spreads the callers that are told to come back.
};

/// The report that this host has read, and when.
struct known_load {
    load_report report;
    core::steady_time read_at;
};

/// Decides whether a job that arrives is accepted.
/// @param job the job.
/// @param load the newest report; null if there is none.
/// @param now the current time.
/// @return the decision; a job is accepted unless a fresh report shows that it could not be of use.
[[nodiscard]] admission_decision decide_admission(const arriving_job& job, const known_load* load,
                                                  core::steady_time now);

/// @param reason a reason.
/// @return its name.
[[nodiscard]] std::string_view to_string(rejection_reason reason);

} // namespace rattanmount::overload
