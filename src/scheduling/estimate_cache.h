#pragma once

#include "core/ids.h"
#include "scheduling/estimate.h"

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <utility>

namespace rattanmount::scheduling {

/// Keeps one estimate for each team in each pool, of those used last.
///
/// Owned by the scheduler; the control thread only. Memory is bounded: the estimate used longest ago is
/// forgotten; who still holds it keeps it.
class estimate_cache {
public:
    /// @param most how many estimates are kept.
    explicit estimate_cache(std::size_t max_entries) : max_entries(max_entries) {}

    /// @return the estimate of a team's work in a pool, made where there is none.
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
    std::list<entry_key> lru; ///< The one used last comes first.
};

} // namespace rattanmount::scheduling
