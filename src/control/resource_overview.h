#pragma once

#include "cell/cell_layout.h"
#include "cell/membership.h"
#include "cell/peer_view.h"
#include "control/config_replica.h"
#include "control/shard_table.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"

#include <optional>
#include <vector>

namespace rattanmount::control {

/// What teams use and which shards have room, over this host's shards and those that live peers report.
///
/// The peers' part is a hint and as old as their last heartbeat. Owned by host_control; used by the control
/// thread only.
class resource_overview {
public:
    /// @param config knows the teams' regions; must outlive this object.
    /// @param layout maps regions to shards; must outlive this object.
    /// @param members holds the peers' views; must outlive this object.
    /// @param shards this host's shards; must outlive this object.
    resource_overview(const config_replica& config, const cell::cell_layout& layout,
                      const cell::membership& members, const shard_table& shards);
    ~resource_overview() = default;
    resource_overview(const resource_overview&) = delete;
    resource_overview& operator=(const resource_overview&) = delete;

    /// @return what each team uses on this host's shards; without the teams that use nothing.
    [[nodiscard]] std::vector<cell::team_usage> local_usage() const;

    /// @return what the team uses on all shards, including this host's.
    [[nodiscard]] core::resources total_usage(const core::team_id& team, core::steady_time now) const;

    /// @return the shard of the team's region with the most free room for the job, among those that serve and
    ///         have no waiting tasks; empty if none has room or the team is unknown.
    [[nodiscard]] std::optional<core::shard_id> shard_with_room(const core::job_spec& spec,
                                                                core::steady_time now) const;

private:
    const config_replica& config;
    const cell::cell_layout& layout;
    const cell::membership& members;
    const shard_table& shards;
};

} // namespace rattanmount::control
