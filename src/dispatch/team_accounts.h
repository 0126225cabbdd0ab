#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "tenancy/team_policy.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace rattanmount::dispatch {

/// Where a team's waiting tasks stand among those of other teams with the same priority.
enum class team_standing : std::uint8_t {
    within_share, ///< It uses no more than its share, or it belongs to no team.
    over_share,   ///< It uses more than its share among the teams that have tasks.
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
    using amounts = std::map<core::team_id, core::resources>;

    /// Puts the policies of a version of the configuration into effect.
    /// @param teams all teams; one that is missing has no cap and no share.
    /// @return whether what a team may have running, or its share, has changed.
    bool set_policies(const std::vector<tenancy::team_policy>& teams);

    /// Forgets all amounts, but not the policies. Called when this host stops leading.
    void reset();

    /// Adds an amount that has been reserved for a run of a team.
    void reserve(const core::team_id& team, const core::resources& amount);

    /// Subtracts an amount that is no longer reserved for a run.
    void release(const core::team_id& team, const core::resources& amount);

    /// Adds an amount that is reserved for a task which does not run there yet.
    void reserve_place(const core::team_id& team, const core::resources& amount);

    /// Subtracts what reserve_place() has added.
    void release_place(const core::team_id& team, const core::resources& amount);

    /// Replaces the amounts that runs of which this leader has not heard may use.
    /// @return whether they have changed.
    bool set_unknown(amounts unknown);

    /// @param team a team, or an empty name.
    /// @param amount what is to be started.
    /// @return whether the team's runs, those that may be left of former leaders, and its reserved places
    /// stay within its cap.
    [[nodiscard]] bool has_room(const core::team_id& team, const core::resources& amount) const;

    /// As has_room() for a task that has a place reserved, or is about to get one in exchange for its run.
    /// @param team a team, or an empty name.
    /// @param amount what is to be started.
    /// @return whether the team's runs, without its reserved places, stay within its cap.
    [[nodiscard]] bool has_room_without_places(const core::team_id& team,
                                               const core::resources& amount) const;

    /// @param team a team, or an empty name.
    /// @param each what one task needs.
    /// @return for how many such tasks it has room under its cap; the largest number if there is no limit.
    [[nodiscard]] std::size_t tasks_within_cap(const core::team_id& team, const core::resources& each) const;

    /// @param team a team.
    /// @return what is reserved for its runs and places.
    [[nodiscard]] core::resources reserved(const core::team_id& team) const;

    /// @return the teams that have anything reserved for runs, with the amounts.
    [[nodiscard]] const amounts& reserved_for_runs() const { return this->runs; }

    /// @param team a team.
    /// @return its policy without the keys, or null if it has none.
    [[nodiscard]] const tenancy::team_policy* policy_of(const core::team_id& team) const;

    /// @return whether the configuration has teams.
    [[nodiscard]] bool has_policies() const { return !this->policies.empty(); }

private:
    [[nodiscard]] bool fits(const core::team_id& team, const core::resources& amount) const;

    std::map<core::team_id, tenancy::team_policy> policies; ///< Without keys.
    amounts runs;                                           ///< Only amounts other than zero, as in `places`.
    amounts places;                                         ///< Reserved for tasks that do not run there yet.
    amounts unknown_runs; ///< What runs of which this leader has not heard may use.
};

/// @param cap a team's cap.
/// @param amount an amount.
/// @return the cap, where each 0, which means no limit, is replaced by the amount, so that the amount fits.
[[nodiscard]] core::resources limits_of(const core::resources& cap, const core::resources& amount);

} // namespace rattanmount::dispatch
