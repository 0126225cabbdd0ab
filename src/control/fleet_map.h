#pragma once

#include "cell/cell_layout.h"
#include "core/ids.h"
#include "core/job.h"
#include "external/fleet_service.h"
#include "ledger/config_state_machine.h"
#include "routing/slot_table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::control {

/// Splits the platform's fleet list by shard: the workers and executors of each shard, the racks without a
/// shard, and the capacity of a region's workers.
///
/// Owned by host_control; used by the control thread only.
class fleet_map {
public:
    /// @param config maps racks to shards; must outlive this object.
    /// @param layout maps regions to shards; must outlive this object.
    fleet_map(const ledger::config_state_machine& config, const cell::cell_layout& layout);

    /// Replaces the fleet list.
    /// @return false if the list is older than the current one, which then stays.
    bool update(const external::fleet_list& list);

    /// @return whether a list has been received.
    [[nodiscard]] bool has_list() const { return this->list.has_value(); }

    /// @return the entry hosts of the list; empty before the first list.
    [[nodiscard]] std::vector<external::listed_host> hosts() const;

    /// @return the workers of the shard.
    [[nodiscard]] std::vector<external::listed_worker> workers_of(core::shard_id shard) const;

    /// @return the shard's executors that may get new work.
    [[nodiscard]] std::vector<routing::executor_info> executors_of(core::shard_id shard) const;

    /// @return the racks that no record assigns to a shard, each with the shard to assign it to: the one of
    ///        its data centre with the fewest racks.
    [[nodiscard]] std::map<core::rack_id, core::shard_id> racks_to_assign() const;

    /// @return why no worker of the region can ever run the job; empty if one can, or if no worker is known.
    [[nodiscard]] std::optional<std::string> never_fits(const core::job_spec& spec,
                                                        const core::region_id& region) const;

private:
    /// Capacity of a region's workers.
    struct region_capacity {
        bool one_task_fits = false;
        core::resources largest; ///< Maximum of each resource by itself, over all workers.
        std::map<core::shard_id, core::resources> shard_totals;
    };

    [[nodiscard]] region_capacity capacity_of(const core::job_spec& spec,
                                              const core::region_id& region) const;

    const ledger::config_state_machine& config;
    const cell::cell_layout& layout;
    std::optional<external::fleet_list> list;
};

} // namespace rattanmount::control
