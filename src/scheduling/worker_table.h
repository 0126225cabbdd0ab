#pragma once

#include "scheduling/worker_row.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanmount::scheduling {

/// The workers of a shard, their free resources, and a ring buffer of the workers that gained free
/// resources.
///
/// The free resources are contiguous in memory, because a search reads those of all workers. Owned by
/// the scheduler; used on the control thread only.
class worker_table {
public:
    /// @param urgent_reserve share of the capacity that only urgent pools may use, 0 to 1.
    explicit worker_table(double urgent_reserve) : urgent_reserve(urgent_reserve) {}

    /// Adds a worker or updates its capacity and rack.
    /// @return its row.
    row_index set(const worker_info& info);

    /// Removes a worker, which must have no allocations.
    void remove(row_index row);

    /// @return the row of a worker, or no_row if it is unknown.
    [[nodiscard]] row_index find(const core::worker_id& name) const;

    void set_accepting(row_index row, bool accepting);
    void set_health(row_index row, worker_health health);

    /// Adds an allocation to its worker; its row must be set.
    void add_allocation(allocation& alloc);
    /// Removes an allocation from its worker and clears its row. No effect if it has no row.
    void remove_allocation(allocation& alloc);
    /// Changes the resources that an allocation occupies.
    void resize_allocation(allocation& alloc, const core::resources& occupied);

    /// Assigns the urgent reserve to workers again if the set of schedulable workers or a capacity has
    /// changed.
    void refresh_reserve();

    [[nodiscard]] const std::vector<worker_row>& rows() const { return this->table; }

    /// @param urgent whether the urgent reserve may be used.
    /// @return the free resources of each row; negative if the worker may get no tasks.
    [[nodiscard]] const std::vector<core::resources>& free_by_row(bool urgent) const {
        return urgent ? this->free_for_urgent : this->free_for_normal;
    }

    /// @return a number that grows with each change that gave a worker more free resources.
    [[nodiscard]] std::uint64_t version() const { return this->growth_count; }

    /// @param since an earlier version().
    /// @param size a size for which no worker had room at that version.
    /// @param urgent whether the urgent reserve may be used.
    /// @return whether the size may fit now; false only if it is certain not to fit.
    [[nodiscard]] bool may_fit_since(std::uint64_t since, const core::resources& size, bool urgent) const;

    /// @return whether a task fits on at least one empty worker; tasks that are not urgent cannot use the
    ///         reserve.
    [[nodiscard]] bool fits_when_empty(const core::resources& size, bool urgent) const;

    /// @return how many tasks fit on all workers together when empty, at most `max_count`.
    [[nodiscard]] std::int64_t count_fitting_when_empty(const core::resources& size, bool urgent,
                                                        std::int64_t max_count) const;

    /// @param size a size for which fits_when_empty() is false.
    /// @return an explanation with the first resource of which no worker has enough and the worker that has
    ///         most of it, or that no worker has enough of all resources together.
    [[nodiscard]] std::string why_never_fits(const core::resources& size, bool urgent) const;

    /// @return the sum of the capacities of accepting workers.
    [[nodiscard]] const core::resources& capacity() const { return this->total_capacity; }
    /// @return the largest capacity of any worker, separately for each resource.
    [[nodiscard]] const core::resources& largest_capacity() const { return this->max_capacity; }
    /// @return the sum of the free resources of workers that may get tasks.
    [[nodiscard]] core::resources total_free() const;
    /// @return the free resources of the worker with the largest dominant share free.
    [[nodiscard]] core::resources largest_free() const;
    [[nodiscard]] std::size_t count() const { return this->by_name.size(); }
    [[nodiscard]] std::size_t rack_count() const { return this->rack_numbers.size(); }

    /// @return the rows of workers that are to be probed or have a probe running.
    [[nodiscard]] const std::vector<row_index>& probing_rows() const { return this->rows_to_probe; }

private:
    /// Workers with the same capacity and the same reserve. "Normal" means without the urgent reserve: what
    /// tasks that are not urgent may use.
    struct capacity_class {
        core::resources urgent;
        core::resources normal;
        std::int64_t workers = 0;
    };
    /// Size of the ring buffer `growth_ring`.
    static constexpr std::size_t growth_ring_size = 1024;

    void update(row_index row);
    void note_growth(row_index row);
    void sum_capacities();
    void assign_reserve();
    void count_classes();

    double urgent_reserve;
    std::vector<worker_row> table;
    std::vector<core::resources> free_for_urgent;
    std::vector<core::resources> free_for_normal;
    std::unordered_map<core::worker_id, row_index> by_name;
    std::vector<row_index> unused_rows;
    std::unordered_map<core::rack_id, std::uint32_t> rack_numbers;
    std::vector<row_index> rows_to_probe;
    std::vector<row_index> growth_ring = std::vector<row_index>(growth_ring_size);
    std::uint64_t growth_count = 1;
    /// Growths up to this version have been overwritten in the ring.
    std::uint64_t last_overwritten_growth = 0;
    bool membership_changed = true; ///< Set when the reserve must be assigned again.
    core::resources total_capacity;
    core::resources max_capacity;
    std::vector<capacity_class> classes;
};

} // namespace rattanmount::scheduling
