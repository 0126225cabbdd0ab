#include "scheduling/worker_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <set>

namespace rattanmount::scheduling {

namespace {

/// Stands for the free resources of a worker that may get no tasks: not even a task of size 0 fits.
constexpr core::resources unavailable{.millicores = -1, .memory_mb = -1, .accelerators = -1};

core::resources scaled(const core::resources& amounts, double share) {
    const auto part = [share](std::int64_t amount) {
        return static_cast<std::int64_t>(std::floor(static_cast<double>(amount) * share));
    };
    return {.millicores = part(amounts.millicores),
            .memory_mb = part(amounts.memory_mb),
            .accelerators = part(amounts.accelerators)};
}

/// Returns a sort key that does not depend on the other workers, so that the order is stable as workers join
/// and leave.
std::size_t stable_order(const worker_info& info) {
    return std::hash<std::string>{}(info.name.value());
}

} // namespace

row_index worker_table::set(const worker_info& info) {
    auto row = this->find(info.name);
    if (row == no_row) {
        if (this->unused_rows.empty()) {
            row = static_cast<row_index>(this->table.size());
            this->table.emplace_back();
            this->free_for_urgent.push_back(unavailable);
            this->free_for_normal.push_back(unavailable);
        } else {
            row = this->unused_rows.back();
            this->unused_rows.pop_back();
        }
        this->by_name[info.name] = row;
        this->table[row] = worker_row{.info = info, .present = true};
    }
    auto& state = this->table[row];
    state.info = info;
    const auto next_rack = static_cast<std::uint32_t>(this->rack_numbers.size());
    state.rack = this->rack_numbers.try_emplace(info.rack, next_rack).first->second;
    this->membership_changed = true;
    this->update(row);
    return row;
}

void worker_table::remove(row_index row) {
    auto& state = this->table.at(row);
    assert(state.allocations.empty());
    this->by_name.erase(state.info.name);
    std::erase(this->rows_to_probe, row);
    state = worker_row{};
    this->unused_rows.push_back(row);
    this->membership_changed = true;
    this->update(row);
}

row_index worker_table::find(const core::worker_id& name) const {
    const auto found = this->by_name.find(name);
    return found == this->by_name.end() ? no_row : found->second;
}

void worker_table::set_accepting(row_index row, bool accepting) {
    auto& state = this->table.at(row);
    if (state.accepting == accepting) {
        return;
    }
    state.accepting = accepting;
    this->membership_changed = true;
    this->update(row);
}

void worker_table::set_health(row_index row, worker_health health) {
    auto& state = this->table.at(row);
    if (state.health == health) {
        return;
    }
    state.health = health;
    std::erase(this->rows_to_probe, row);
    if (health == worker_health::probing) {
        this->rows_to_probe.push_back(row);
    }
    this->membership_changed = true;
    this->update(row);
}

void worker_table::add_allocation(allocation& alloc) {
    assert(alloc.row != no_row);
    auto& state = this->table.at(alloc.row);
    state.allocations.push_back(&alloc);
    state.occupied += alloc.occupied;
    if (!alloc.urgent) {
        state.occupied_normal += alloc.occupied;
    }
    this->update(alloc.row);
}

void worker_table::remove_allocation(allocation& alloc) {
    if (alloc.row == no_row) {
        return;
    }
    auto& state = this->table.at(alloc.row);
    const auto position = std::find(state.allocations.begin(), state.allocations.end(), &alloc);
    assert(position != state.allocations.end());
    *position = state.allocations.back();
    state.allocations.pop_back();
    state.occupied -= alloc.occupied;
    if (!alloc.urgent) {
        state.occupied_normal -= alloc.occupied;
    }
    this->update(alloc.row);
    alloc.row = no_row;
}

void worker_table::resize_allocation(allocation& alloc, const core::resources& occupied) {
    if (alloc.row != no_row) {
        auto& state = this->table.at(alloc.row);
        state.occupied += occupied - alloc.occupied;
        if (!alloc.urgent) {
            state.occupied_normal += occupied - alloc.occupied;
        }
        this->update(alloc.row);
    }
    alloc.occupied = occupied;
}

void worker_table::update(row_index row) {
    const auto& state = this->table[row];
    const auto urgent = state.is_schedulable() ? state.free(true) : unavailable;
    const auto normal = state.is_schedulable() ? state.free(false) : unavailable;
    const bool grown =
        !urgent.fits_in(this->free_for_urgent[row]) || !normal.fits_in(this->free_for_normal[row]);
    this->free_for_urgent[row] = urgent;
    this->free_for_normal[row] = normal;
    if (grown) {
        this->note_growth(row);
    }
}

void worker_table::note_growth(row_index row) {
    ++this->growth_count;
    this->growth_ring[this->growth_count % growth_ring_size] = row;
    if (this->growth_count > growth_ring_size) {
        this->last_overwritten_growth = this->growth_count - growth_ring_size;
    }
}

bool worker_table::may_fit_since(std::uint64_t since, const core::resources& size, bool urgent) const {
    if (since == this->growth_count) {
        return false;
    }
    if (since < this->last_overwritten_growth || this->growth_count - since > this->table.size()) {
        return true;
    }
    const auto& free_by_row = this->free_by_row(urgent);
    for (auto version = since + 1; version <= this->growth_count; ++version) {
        if (size.fits_in(free_by_row[this->growth_ring[version % growth_ring_size]])) {
            return true;
        }
    }
    return false;
}

void worker_table::refresh_reserve() {
    if (!this->membership_changed) {
        return;
    }
    this->membership_changed = false;
    this->sum_capacities();
    this->assign_reserve();
    this->count_classes();
}

void worker_table::sum_capacities() {
    this->total_capacity = {};
    this->max_capacity = {};
    for (const auto& row : this->table) {
        if (row.present) {
            this->max_capacity = elementwise_max(this->max_capacity, row.info.capacity);
        }
        if (row.present && row.accepting) {
            this->total_capacity += row.info.capacity;
        }
    }
}

/// Reserves whole workers rather than a small part of each, so that a task of any size can use the reserve.
/// The remaining fraction of a worker is reserved on one more worker. A single worker of its capacity gets no
/// reserve. Workers on different racks are preferred.
void worker_table::assign_reserve() {
    std::map<std::vector<std::int64_t>, std::vector<row_index>> classes;
    for (row_index row = 0; row < this->table.size(); ++row) {
        auto& state = this->table[row];
        state.reserve = {};
        if (state.is_schedulable()) {
            const auto& total = state.info.capacity;
            classes[{total.millicores, total.memory_mb, total.accelerators}].push_back(row);
        }
    }
    for (auto& [capacity, rows] : classes) {
        if (rows.size() < 2) {
            continue;
        }
        std::sort(rows.begin(), rows.end(), [this](row_index left, row_index right) {
            return stable_order(this->table[left].info) < stable_order(this->table[right].info);
        });
        std::set<std::uint32_t> racks;
        std::stable_partition(rows.begin(), rows.end(),
                              [&](row_index row) { return racks.insert(this->table[row].rack).second; });
        double left = this->urgent_reserve * static_cast<double>(rows.size());
        for (std::size_t position = 0; position < rows.size() && left > 0.0; ++position, left -= 1.0) {
            auto& state = this->table[rows[position]];
            state.reserve = scaled(state.info.capacity, std::min(1.0, left));
        }
    }
    for (row_index row = 0; row < this->table.size(); ++row) {
        this->update(row);
    }
}

void worker_table::count_classes() {
    this->classes.clear();
    for (const auto& row : this->table) {
        if (!row.present) {
            continue;
        }
        const capacity_class entry{.urgent = row.info.capacity, .normal = row.info.capacity - row.reserve};
        const auto known = std::find_if(this->classes.begin(), this->classes.end(), [&](const auto& other) {
            return other.urgent == entry.urgent && other.normal == entry.normal;
        });
        if (known == this->classes.end()) {
            this->classes.push_back(entry);
            this->classes.back().workers = 1;
        } else {
            ++known->workers;
        }
    }
}

bool worker_table::fits_when_empty(const core::resources& size, bool urgent) const {
    return std::any_of(this->classes.begin(), this->classes.end(),
                       [&](const auto& entry) { return size.fits_in(urgent ? entry.urgent : entry.normal); });
}

std::int64_t worker_table::count_fitting_when_empty(const core::resources& size, bool urgent,
                                                    std::int64_t max_count) const {
    std::int64_t sum = 0;
    for (const auto& entry : this->classes) {
        sum += entry.workers * count_fitting(size, urgent ? entry.urgent : entry.normal, max_count);
    }
    return std::min(sum, max_count);
}

std::string worker_table::why_never_fits(const core::resources& size, bool urgent) const {
    for (const auto which : {dimension::processors, dimension::memory, dimension::accelerators}) {
        const worker_row* largest = nullptr;
        std::int64_t free = 0;
        for (const auto& row : this->table) {
            const auto has = amount(row.info.capacity - (urgent ? core::resources{} : row.reserve), which);
            if (row.present && (largest == nullptr || has > free)) {
                largest = &row;
                free = has;
            }
        }
        if (largest != nullptr && amount(size, which) > free) {
            return "no worker has enough " + std::string(to_string(which)) + ": a task takes " + size.text() +
                   ", the worker with most of it is " + largest->info.name.value() + " with " +
                   largest->info.capacity.text();
        }
    }
    return "no worker has enough of all resources together: a task takes " + size.text() +
           ", the largest capacities of any worker are " + this->max_capacity.text();
}

core::resources worker_table::total_free() const {
    core::resources sum;
    for (const auto& free : this->free_for_urgent) {
        sum += elementwise_max(free, {});
    }
    return sum;
}

core::resources worker_table::largest_free() const {
    core::resources largest;
    double largest_share = -1.0;
    for (const auto& free : this->free_for_urgent) {
        const double share = free.dominant_share(this->max_capacity);
        if (free.valid() && share > largest_share) {
            largest = free;
            largest_share = share;
        }
    }
    return largest;
}

} // namespace rattanmount::scheduling
