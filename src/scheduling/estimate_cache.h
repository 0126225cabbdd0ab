#pragma once

#include "core/ids.h"
#include "scheduling/estimate.h"

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <utility>

namespace rattanmount::scheduling {

/// An LRU cache with one estimate per team and pool.
///
/// Owned by the scheduler; used on the control thread only. Memory is bounded: the least recently used
/// estimate is evicted. An evicted estimate stays valid while someone still shares it.
class estimate_cache {
public:
    /// @param max_entries how many estimates are kept; at least 1.
    explicit estimate_cache(std::size_t max_entries) : max_entries(max_entries) {}

    /// @return the estimate for a team in a pool, created if there is none.
    std::shared_ptr<estimate> find(const core::team_id& team, const core::pool_id& pool);

    [[nodiscard]] std::size_t count() const { return this->entries.size(); }

private:
    struct entry_key {
        core::team_id team;
        core::pool_id pool;
        friend auto operator<=>(const entry_key&, const entry_key&) = default;
    };
    struct entry {
        std::shared_ptr<estimate> value;
        std::list<entry_key>::iterator lru_position;
    };

    std::size_t max_entries;
    std::map<entry_key, entry> entries;
    std::list<entry_key> lru; ///< The most recently used comes first.
};

} // namespace rattanmount::scheduling
