#pragma once

#include "core/resources.h"
#include "scheduling/worker_table.h"

#include <cstdint>
#include <vector>

namespace rattanmount::scheduling {

/// Remembers sizes that fit on no worker, so that what is as large is not searched for again.
///
/// Owned by the scheduler; the control thread only. Call refresh() before each round of placements: what may
/// fit since some worker gained room is forgotten.
class misfit_cache {
public:
    /// Forgets the sizes that may fit by now.
    void refresh(const worker_table& workers);

    /// Remembers that a size fits nowhere now.
    /// @param urgent whether the reserve was searched too.
    void add(const core::resources& size, bool urgent);

    /// @return whether a size surely fits nowhere.
    [[nodiscard]] bool fits_nowhere(const core::resources& size, bool urgent) const;

private:
    struct entry {
        core::resources size;
        bool urgent = false;
    };
    /// Sizes remembered at most; each is the smallest in some amount.
    static constexpr std::size_t max_entries = 16;

    std::vector<entry> entries;
    std::uint64_t version = 0; ///< Of the worker table, for all entries.
};

} // namespace rattanmount::scheduling
