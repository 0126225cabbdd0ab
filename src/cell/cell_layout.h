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

/// How the cell is cut into shards: shard s belongs to data centre s modulo their number.
///
/// The same on every entry host, from its settings. A value; any thread may read it.
class cell_layout {
public:
    /// @param regions all regions; each has a data centre.
    /// @param shards how many shards there are; at least one per data centre.
    cell_layout(std::vector<region_layout> regions, std::uint32_t shards);

    /// @return every shard with its data centre, in order.
    [[nodiscard]] const std::vector<shard_place>& shards() const { return this->places; }

    /// @param region the name of a region.
    /// @return the shards of its data centres; empty where there is no such region.
    [[nodiscard]] const std::vector<core::shard_id>& shards_of(const core::region_id& region) const;

    /// @param data_centre a data centre.
    /// @return its shards; empty where it is none of the cell's.
    [[nodiscard]] std::vector<core::shard_id> shards_in(const core::data_centre_id& data_centre) const;

    /// @param shard a shard of the cell.
    /// @return the region that it belongs to.
    [[nodiscard]] core::region_id region_of(core::shard_id shard) const;

private:
    std::vector<region_layout> regions;
    std::vector<shard_place> places;
    std::map<core::region_id, std::vector<core::shard_id>> by_region;
};

} // namespace rattanmount::cell
