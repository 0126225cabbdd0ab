#pragma once

#include "scheduling/worker_row.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanmount::scheduling {

/// The workers of a shard, what is free on each, and which of them gained room of late.
///
/// Rooms are kept side by side in memory, so that a search over all workers is short. Owned by the scheduler;
/// the control thread only.
class worker_table {
public:
    /// @param urgent_reserve share of the room that only urgent pools may use, 0 to 1.
    explicit worker_table(double urgent_reserve) : urgent_reserve(urgent_reserve) {}

    /// Adds a worker or changes its capacity or place.
    /// @return its row.
    row_index set(const worker_info& info);

    /// Removes a worker, which must have no holdings.
    void remove(row_index row);

    /// @return the row of a worker, or no_row.
    [[nodiscard]] row_index find(const core::worker_id& name) const;

    void set_accepting(row_index row, bool accepting);
    void set_health(row_index row, worker_health standing);

    /// Counts a holding on its row; its row must be set.
    void add_allocation(allocation& alloc);
    /// Takes a holding off its row; no effect where it has none.
    void remove_allocation(allocation& alloc);
    /// Changes what a holding occupies.
    void resize_allocation(allocation& alloc, const core::resources& occupied);

    /// Spreads the reserve anew over the workers where membership has changed.
    void refresh_reserve();

    [[nodiscard]] const std::vector<worker_row>& rows() const { return this->table; }

    /// @param urgent whether the reserve may be used.
    /// @return the room of each row; negative amounts where a worker may get no task.
    [[nodiscard]] const std::vector<core::resources>& free_by_row(bool urgent) const {
        return urgent ? this->free_for_urgent : this->free_for_normal;
    }

    /// Counts the changes that gave some worker more room.
    [[nodiscard]] std::uint64_t version() const { return this->growth_count; }

    /// @param since a version.
    /// @param size a size that fitted nowhere at that version.
    /// @param urgent whether the reserve may be used.
    /// @return whether it may fit now; false only where it surely does not.
    [[nodiscard]] bool may_fit_since(std::uint64_t since, const core::resources& size, bool urgent) const;

    /// @return whether some worker with its whole capacity, less the reserve for work that is not urgent, has
    /// room.
    [[nodiscard]] bool fits_when_empty(const core::resources& size, bool urgent) const;

    /// @return how many tasks of a size all workers together could hold when empty, at most `most`.
    [[nodiscard]] std::int64_t count_fitting_when_empty(const core::resources& size, bool urgent,
                                                        std::int64_t max_count) const;

    /// @param size a size for which ever_fits() is false.
    /// @return why, with the amount that is too large and the worker that has most of it.
    [[nodiscard]] std::string why_never_fits(const core::resources& size, bool urgent) const;

    /// @return the sum of the capacities of accepting workers.
    [[nodiscard]] const core::resources& capacity() const { return this->total_capacity; }
    /// @return the largest capacity of any worker, in each dimension.
    [[nodiscard]] const core::resources& largest_capacity() const { return this->max_capacity; }
    /// @return the sum of what is free on workers that may get tasks.
    [[nodiscard]] core::resources total_free() const;
    /// @return the room of the worker with the most room.
    [[nodiscard]] core::resources largest_free() const;
    [[nodiscard]] std::size_t count() const { return this->by_name.size(); }
    [[nodiscard]] std::size_t rack_count() const { return this->rack_numbers.size(); }

    /// Rows of workers that wait for a probe.
    [[nodiscard]] const std::vector<row_index>& probing_rows() const { return this->rows_to_probe; }

private:
    /// Workers of equal capacity, less the reserve.
    struct capacity_class {
        core::resources urgent;
        core::resources normal;
        std::int64_t workers = 0;
    };
    /// How many growths are remembered one by one.
    static constexpr std::size_t max_growths = 1024;

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
    std::vector<row_index> growth_ring = std::vector<row_index>(max_growths);
    std::uint64_t growth_count = 1;
    std::uint64_t oldest_remembered_growth = 0; ///< Growths up to this version are not remembered one by one.
    bool membership_changed = true;             ///< Membership has changed since the reserve was spread.
    core::resources total_capacity;
    core::resources max_capacity;
    std::vector<capacity_class> classes;
};

} // namespace rattanmount::scheduling
