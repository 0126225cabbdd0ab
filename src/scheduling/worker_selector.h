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

/// The requirements of a task.
struct placement_request {
    core::resources size;
    bool urgent = false;                 ///< Whether it may use the urgent reserve.
    std::vector<row_index> avoided_rows; ///< Workers on which the job failed.
    /// The job's tasks per rack, if they are to be spread.
    const std::vector<std::uint32_t>* job_tasks_by_rack = nullptr;
    /// The pool's tasks per rack, if they are to be spread.
    const std::vector<std::uint32_t>* pool_tasks_by_rack = nullptr;
    const reservation* protected_reservation = nullptr; ///< A reservation that the task must not delay.
    std::optional<core::steady_time> estimated_end;     ///< Estimated end of the task; empty if not known.
};

/// The result of a search.
struct selection {
    row_index row = no_row;
    placement_reason reason;
    std::uint32_t avoided = 0;  ///< Workers with enough free capacity on which the job failed.
    std::uint32_t reserved = 0; ///< Workers excluded only because of the reservation.
};

/// Selects workers by best fit: the worker on which a task leaves the least of the shard's scarcest resource.
///
/// The score also penalises an imbalance between the remaining processors and memory. Tasks that need no
/// accelerators avoid workers that have them free, urgent tasks use the reserve first, and spread tasks go to
/// the rack with the fewest of them. Usable for several decisions; only reads the worker table.
class worker_selector {
public:
    /// @param workers must outlive the selector.
    /// @param scarcest the resource that the shard is shortest of.
    worker_selector(const worker_table& workers, dimension scarcest);

    /// @return the best worker for one task; its row is no_row if none fits.
    [[nodiscard]] selection select(const placement_request& request) const;

    /// @param tasks how many tasks must fit together.
    /// @return a row for each task, or an empty list if they do not all fit.
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
    core::resources largest_capacity; ///< Normalises the amounts of different resources.
    double per_millicore;
    double per_memory_mb;
    double per_accelerator;
};

} // namespace rattanmount::scheduling
