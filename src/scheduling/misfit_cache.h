#pragma once

#include "core/resources.h"
#include "scheduling/worker_table.h"

#include <cstdint>
#include <vector>

namespace rattanmount::scheduling {

/// A negative cache of task sizes that fit on no worker, which saves searching again for an equal or larger
/// size.
///
/// Owned by the scheduler; used on the control thread only. Call refresh() before each placement round: it
/// drops sizes that may fit because a worker has gained free capacity since.
class misfit_cache {
public:
    /// Drops the sizes that may fit now.
    void refresh(const worker_table& workers);

    /// Records that a size fits on no worker now. Ignored if the cache is full.
    /// @param urgent whether the urgent reserve was searched too.
    void add(const core::resources& size, bool urgent);

    /// @return whether a size is known to fit on no worker; false if it is not known.
    [[nodiscard]] bool fits_nowhere(const core::resources& size, bool urgent) const;

private:
    struct entry {
        core::resources size;
        bool urgent = false;
    };
    /// Largest number of entries. An entry also covers all larger sizes, so few are needed.
    static constexpr std::size_t max_entries = 16;

    std::vector<entry> entries;
    std::uint64_t version = 0; ///< Version of worker_table at the last refresh().
};

} // namespace rattanmount::scheduling
