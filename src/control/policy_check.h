#pragma once

#include "core/ids.h"
#include "core/job.h"
#include "release/policy_registry.h"

#include <optional>
#include <string>

namespace rattanmount::control {

/// Checks the names that a caller gives with new work.
/// @return why the work cannot be accepted: the team or the pool is not in force, or the pool accepts only
///         another kind of work; empty if it can.
[[nodiscard]] std::optional<std::string> unknown_name_error(const release::policy_registry& policies,
                                                            const core::team_id& team,
                                                            const core::pool_id& pool, core::work_kind kind);

} // namespace rattanmount::control
