#pragma once

#include "core/ids.h"

namespace rattanmount::tenancy {

/// Whom the caller of a request calls for, which decides the jobs that it may see and cancel.
///
/// A value type.
struct caller {
    core::team_id team;          ///< Empty: the caller calls for no team.
    bool sees_all_teams = false; ///< There are no teams to keep apart.

    /// @param owner the team that a job belongs to; empty: it belongs to no team.
    /// @return whether the job exists for this caller. A job of no team exists for all callers.
    [[nodiscard]] bool may_access(const core::team_id& owner) const {
        return this->sees_all_teams || owner.empty() || owner == this->team;
    }
};

} // namespace rattanmount::tenancy
