#include "scheduling/forecast.h"

#include "scheduling/dimension.h"

#include <algorithm>
#include <numeric>

namespace rattanmount::scheduling {

reservation forecast::earliest_fit(const core::resources& size, std::size_t tasks, bool urgent) {
    this->task_size = size;
    this->task_count = static_cast<std::int64_t>(tasks);
    const auto& rows = this->state.workers.rows();
    this->free_for_urgent.assign(rows.size(), {});
    this->free_for_normal.assign(rows.size(), {});
    this->fitting_by_row.assign(rows.size(), 0);
    this->total_fitting = 0;
    for (row_index row = 0; row < rows.size(); ++row) {
        this->free_for_urgent[row] = rows[row].info.capacity - rows[row].occupied;
        this->free_for_normal[row] = rows[row].info.capacity - rows[row].reserve - rows[row].occupied_normal;
        this->update_fitting(row, urgent);
    }
    reservation plan{.tasks = tasks, .size = size, .computed_at = this->now};
    auto ends = this->estimated_ends();
    const auto later = [](const task_end& left, const task_end& right) { return left.at > right.at; };
    std::make_heap(ends.begin(), ends.end(), later);
    auto time = this->now;
    while (this->total_fitting < this->task_count && !ends.empty()) {
        std::pop_heap(ends.begin(), ends.end(), later);
        const auto next = ends.back();
        ends.pop_back();
        time = next.at;
        this->free_for_urgent[next.alloc->row] += next.alloc->occupied;
        if (!next.alloc->urgent) {
            this->free_for_normal[next.alloc->row] += next.alloc->occupied;
        }
        this->update_fitting(next.alloc->row, urgent);
    }
    if (this->total_fitting >= this->task_count) {
        plan.start_at = time;
        this->choose_rows(plan, urgent);
    }
    return plan;
}

std::vector<forecast::task_end> forecast::estimated_ends() const {
    std::vector<task_end> ends;
    for (const auto& row : this->state.workers.rows()) {
        if (!row.is_schedulable()) {
            continue;
        }
        for (const auto* alloc : row.allocations) {
            const auto at = alloc->estimated_end(this->now, this->state.options.straggler_factor);
            if (at.has_value()) {
                ends.push_back({.at = *at, .alloc = alloc});
            }
        }
    }
    return ends;
}

core::resources forecast::free(row_index row, bool urgent) const {
    return urgent ? this->free_for_urgent[row]
                  : elementwise_min(this->free_for_urgent[row], this->free_for_normal[row]);
}

void forecast::update_fitting(row_index row, bool urgent) {
    const bool schedulable = this->state.workers.rows()[row].is_schedulable();
    const auto fitting =
        schedulable ? count_fitting(this->task_size, this->free(row, urgent), this->task_count) : 0;
    this->total_fitting += fitting - this->fitting_by_row[row];
    this->fitting_by_row[row] = fitting;
}

void forecast::choose_rows(reservation& plan, bool urgent) const {
    std::vector<row_index> order(this->fitting_by_row.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [this](row_index left, row_index right) {
        return this->fitting_by_row[left] > this->fitting_by_row[right];
    });
    plan.spare.resize(this->fitting_by_row.size());
    auto left = this->task_count;
    for (const auto row : order) {
        const auto taken = std::min(left, this->fitting_by_row[row]);
        if (taken <= 0) {
            break;
        }
        plan.spare[row] = this->free(row, urgent) - this->task_size * taken;
        plan.rows.insert(plan.rows.end(), static_cast<std::size_t>(taken), row);
        left -= taken;
    }
}

} // namespace rattanmount::scheduling
