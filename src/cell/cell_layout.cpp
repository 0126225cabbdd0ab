#include "cell/cell_layout.h"

#include <algorithm>
#include <cassert>

namespace rattanmount::cell {

cell_layout::cell_layout(std::vector<region_layout> regions, std::uint32_t shards)
    : regions(std::move(regions)) {
    std::vector<core::data_centre_id> data_centres;
    for (const auto& region : this->regions) {
        data_centres.insert(data_centres.end(), region.data_centres.begin(), region.data_centres.end());
    }
    assert(!data_centres.empty() && shards >= data_centres.size());
    for (std::uint32_t number = 0; number < shards; ++number) {
        this->places.push_back(shard_place{.shard = core::shard_id{number},
                                           .data_centre = data_centres[number % data_centres.size()]});
    }
    for (const auto& place : this->places) {
        this->by_region[this->region_of(place.shard)].push_back(place.shard);
    }
}

const std::vector<core::shard_id>& cell_layout::shards_of(const core::region_id& region) const {
    static const std::vector<core::shard_id> none;
    const auto found = this->by_region.find(region);
    return found == this->by_region.end() ? none : found->second;
}

std::vector<core::shard_id> cell_layout::shards_in(const core::data_centre_id& data_centre) const {
    std::vector<core::shard_id> found;
    for (const auto& place : this->places) {
        if (place.data_centre == data_centre) {
            found.push_back(place.shard);
        }
    }
    return found;
}

core::region_id cell_layout::region_of(core::shard_id shard) const {
    assert(shard.value() < this->places.size());
    const auto& data_centre = this->places[shard.value()].data_centre;
    for (const auto& region : this->regions) {
        if (std::ranges::find(region.data_centres, data_centre) != region.data_centres.end()) {
            return region.name;
        }
    }
    return {};
}

} // namespace rattanmount::cell
