#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "tenancy/team_policy.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rattanmount::dispatch {

/// Where a team's waiting tasks stand among those of other teams with the same priority.
enum class team_standing : std::uint8_t {
    within_share, ///< It uses no more than its share, or it belongs to no team.
    over_share,   ///< It uses more than its share while other teams wait.
    beyond_rate,  ///< Its job came beyond the rate at which its team may send jobs.
};

/// What each team has running on all workers together, and what it may have.
///
/// `run_manager` adds each amount that it reserves on a worker and subtracts each that it releases, so an
/// account is the sum of its team's reservations and includes starts in flight, runs on silent workers until
/// their leases have expired, and runs that are being stopped. Jobs without a team have no account. Part of
/// dispatch_state; used by the control thread only.
class team_accounts {
public:
    /// Puts the policies of a version of the configuration into effect.
    /// @param teams all teams; one that is missing has no cap and no share.
    void set_policies(const std::vector<tenancy::team_policy>& teams);

    /// Forgets all amounts, but not the policies. Called when this host stops leading.
    void reset();

    /// Adds an amount that has been reserved for a run or a kept place of a team.
    void reserve(const core::team_id& team, const core::resources& amount);

    /// Subtracts an amount that is no longer reserved.
    void release(const core::team_id& team, const core::resources& amount);

    /// @param team a team, or an empty name.
    /// @param amount what is to be started.
    /// @return whether the team's reservations stay within its cap.
    [[nodiscard]] bool has_room(const core::team_id& team, const core::resources& amount) const;

    /// @param team a team.
    /// @return what is reserved for it.
    [[nodiscard]] core::resources reserved(const core::team_id& team) const;

    /// @param team a team.
    /// @return its policy, or null if it has none.
    [[nodiscard]] const tenancy::team_policy* policy_of(const core::team_id& team) const;

private:
    std::map<core::team_id, tenancy::team_policy> policies;
    std::map<core::team_id, core::resources> reservations; ///< Only amounts other than zero.
};

} // namespace rattanmount::dispatch
