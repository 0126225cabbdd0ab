#pragma once

#include "cell/ownership.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattanmount::cell {

/// A region and its data centres.
struct region_layout {
    core::region_id name;
    std::vector<core::data_centre_id> data_centres;
};

/// Maps shards to data centres and regions: shard s belongs to data centre s modulo the number of data
/// centres.
///
/// Built from the settings, which are the same on every entry host. Immutable; any thread may read it.
class cell_layout {
public:
    /// @param regions all regions; each has at least one data centre.
    /// @param shards the number of shards; at least one per data centre.
    cell_layout(std::vector<region_layout> regions, std::uint32_t shards);

    /// @return every shard with its data centre, ordered by shard number.
    [[nodiscard]] const std::vector<shard_place>& shards() const { return this->places; }

    /// @return the shards of the region's data centres; empty if the region is unknown.
    [[nodiscard]] const std::vector<core::shard_id>& shards_of(const core::region_id& region) const;

    /// @return the shards of the data centre; empty if it does not belong to the cell.
    [[nodiscard]] std::vector<core::shard_id> shards_in(const core::data_centre_id& data_centre) const;

    /// @param shard must be a shard of the cell.
    /// @return the region that the shard belongs to.
    [[nodiscard]] core::region_id region_of(core::shard_id shard) const;

private:
    std::vector<region_layout> regions;
    std::vector<shard_place> places;
    std::map<core::region_id, std::vector<core::shard_id>> by_region;
};

} // namespace rattanmount::cell
