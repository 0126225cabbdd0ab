#pragma once

#include "core/resources.h"
#include "core/time.h"
#include "scheduling/allocation.h"
#include "scheduling/dimension.h"
#include "scheduling/reservation.h"
#include "scheduling/tracked_job.h"
#include "scheduling/worker_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace rattanmount::scheduling {

/// What a task needs of a worker.
struct placement_request {
    core::resources size;
    bool urgent = false;                 ///< May use the reserve.
    std::vector<row_index> avoided_rows; ///< Workers that failed the job.
    const std::vector<std::uint32_t>* job_tasks_by_rack =
        nullptr; ///< Tasks of the job by rack, where it is spread.
    const std::vector<std::uint32_t>* pool_tasks_by_rack =
        nullptr;                                        ///< Tasks of the pool by rack, where it is spread.
    const reservation* protected_reservation = nullptr; ///< A reservation that must not be delayed.
    std::optional<core::steady_time> estimated_end;     ///< When the task will be over by the estimates.
};

/// What a search found.
struct selection {
    row_index row = no_row;
    placement_reason reason;
    std::uint32_t avoided = 0;  ///< Workers that had room but failed the job.
    std::uint32_t reserved = 0; ///< Workers that had room but for the reservation.
};

/// Searches the worker on which a task leaves the least room over.
///
/// Best fit on the scarcest amount of the shard, with a part for how uneven the rest is; workers with
/// accelerators are left to those who need them, urgent tasks fill the reserve first, and spread tasks go to
/// the rack that has the fewest of them. Made for one decision or more; reads the worker table only.
class worker_selector {
public:
    /// @param workers outlives the finder.
    /// @param scarcest the amount of which the shard is shortest.
    worker_selector(const worker_table& workers, dimension scarcest);

    /// @return the best worker for one task; its row is no_row where there is none.
    [[nodiscard]] selection select(const placement_request& request) const;

    /// @param tasks how many tasks must fit together.
    /// @return a row for each task, or none where they do not all fit.
    [[nodiscard]] std::vector<row_index> select_all(const placement_request& request,
                                                    std::size_t tasks) const;

    [[nodiscard]] dimension scarcest_dimension() const { return this->scarcest; }

private:
    struct feasible_worker {
        row_index row = no_row;
        std::int64_t count = 0;
        double score = 0.0;
    };

    double score(const placement_request& request, row_index row, const core::resources& free) const;
    std::vector<feasible_worker> feasible_workers(const placement_request& request, std::size_t tasks) const;
    std::vector<row_index> fill(const std::vector<feasible_worker>& found, std::size_t tasks) const;
    std::vector<row_index> fill_by_rack(const std::vector<feasible_worker>& found, std::size_t tasks) const;
    bool is_avoided(const placement_request& request, row_index row) const;

    const worker_table& workers;
    dimension scarcest;
    core::resources largest_capacity; ///< The largest capacity, to compare amounts by.
    double per_millicore;
    double per_memory_mb;
    double per_accelerator;
};

} // namespace rattanmount::scheduling
