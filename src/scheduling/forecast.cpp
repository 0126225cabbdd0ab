#include "scheduling/forecast.h"

#include "scheduling/dimension.h"

#include <algorithm>
#include <numeric>

namespace rattanmount::scheduling {

reservation forecast::earliest(const core::resources& size, std::size_t tasks, bool urgent) {
    this->size = size;
    this->wanted = static_cast<std::int64_t>(tasks);
    const auto& rows = this->state.workers.rows();
    this->all.assign(rows.size(), {});
    this->normal.assign(rows.size(), {});
    this->counts.assign(rows.size(), 0);
    this->total = 0;
    for (row_index row = 0; row < rows.size(); ++row) {
        this->all[row] = rows[row].info.capacity - rows[row].occupied;
        this->normal[row] = rows[row].info.capacity - rows[row].reserve - rows[row].occupied_normal;
        this->recount(row, urgent);
    }
    reservation plan{.tasks = tasks, .size = size, .made = this->now};
    auto ends = this->expected_ends();
    const auto later = [](const end& left, const end& right) { return left.at > right.at; };
    std::make_heap(ends.begin(), ends.end(), later);
    auto time = this->now;
    while (this->total < this->wanted && !ends.empty()) {
        std::pop_heap(ends.begin(), ends.end(), later);
        const auto next = ends.back();
        ends.pop_back();
        time = next.at;
        this->all[next.what->row] += next.what->occupied;
        if (!next.what->urgent) {
            this->normal[next.what->row] += next.what->occupied;
        }
        this->recount(next.what->row, urgent);
    }
    if (this->total >= this->wanted) {
        plan.at = time;
        this->choose_rows(plan, urgent);
    }
    return plan;
}

std::vector<forecast::end> forecast::expected_ends() const {
    std::vector<end> ends;
    for (const auto& row : this->state.workers.rows()) {
        if (!row.open()) {
            continue;
        }
        for (const auto* what : row.holdings) {
            const auto at = what->expected_end(this->now, this->state.options.straggler_factor);
            if (at.has_value()) {
                ends.push_back({.at = *at, .what = what});
            }
        }
    }
    return ends;
}

core::resources forecast::room(row_index row, bool urgent) const {
    return urgent ? this->all[row] : smaller(this->all[row], this->normal[row]);
}

void forecast::recount(row_index row, bool urgent) {
    const bool open = this->state.workers.rows()[row].open();
    const auto fitting = open ? count_fitting(this->size, this->room(row, urgent), this->wanted) : 0;
    this->total += fitting - this->counts[row];
    this->counts[row] = fitting;
}

void forecast::choose_rows(reservation& plan, bool urgent) const {
    std::vector<row_index> order(this->counts.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [this](row_index left, row_index right) {
        return this->counts[left] > this->counts[right];
    });
    plan.spare.resize(this->counts.size());
    auto left = this->wanted;
    for (const auto row : order) {
        const auto taken = std::min(left, this->counts[row]);
        if (taken <= 0) {
            break;
        }
        plan.spare[row] = this->room(row, urgent) - this->size * taken;
        plan.rows.insert(plan.rows.end(), static_cast<std::size_t>(taken), row);
        left -= taken;
    }
}

} // namespace rattanmount::scheduling
