#include "scheduling/worker_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattanmount::scheduling {

namespace {

/// Terms of a score; the lowest score wins. Each term outweighs all the terms after it.
constexpr double job_task_penalty = 1e9;
constexpr double pool_task_penalty = 1e4;
constexpr double unused_accelerator_penalty = 100.0;
constexpr double reserve_preference = -10.0;
/// Weight of the imbalance between processors and memory relative to what remains of the scarcest resource.
constexpr double imbalance_weight = 0.5;

double inverse(std::int64_t amount) {
    return amount <= 0 ? 0.0 : 1.0 / static_cast<double>(amount);
}

std::uint32_t count_in(const std::vector<std::uint32_t>* by_rack, std::uint32_t rack) {
    return by_rack == nullptr || rack >= by_rack->size() ? 0 : (*by_rack)[rack];
}

} // namespace

worker_selector::worker_selector(const worker_table& workers, dimension scarcest)
    : workers(workers), scarcest(scarcest), largest_capacity(workers.largest_capacity()),
      per_millicore(inverse(this->largest_capacity.millicores)),
      per_memory_mb(inverse(this->largest_capacity.memory_mb)),
      per_accelerator(inverse(this->largest_capacity.accelerators)) {}

bool worker_selector::is_avoided(const placement_request& request, row_index row) const {
    return std::find(request.avoided_rows.begin(), request.avoided_rows.end(), row) !=
           request.avoided_rows.end();
}

double worker_selector::score(const placement_request& request, row_index row,
                              const core::resources& free) const {
    const auto remaining = free - request.size;
    const double processors = static_cast<double>(remaining.millicores) * this->per_millicore;
    const double memory = static_cast<double>(remaining.memory_mb) * this->per_memory_mb;
    const double accelerators = static_cast<double>(remaining.accelerators) * this->per_accelerator;
    double value = processors;
    if (this->scarcest != dimension::processors) {
        value = this->scarcest == dimension::memory ? memory : accelerators;
    }
    value += imbalance_weight * std::abs(processors - memory);
    if (request.size.accelerators == 0 && free.accelerators > 0) {
        value += unused_accelerator_penalty;
    }
    if (request.urgent && this->workers.rows()[row].reserve.millicores > 0) {
        value += reserve_preference;
    }
    if (request.job_tasks_by_rack != nullptr || request.pool_tasks_by_rack != nullptr) {
        const auto rack = this->workers.rows()[row].rack;
        value += job_task_penalty * count_in(request.job_tasks_by_rack, rack);
        value += pool_task_penalty * count_in(request.pool_tasks_by_rack, rack);
    }
    return value;
}

selection worker_selector::select(const placement_request& request) const {
    selection found;
    double best = std::numeric_limits<double>::infinity();
    const auto& free_by_row = this->workers.free_by_row(request.urgent);
    const auto rows = static_cast<row_index>(free_by_row.size());
    for (row_index row = 0; row < rows; ++row) {
        if (!request.size.fits_in(free_by_row[row])) {
            continue;
        }
        if (!request.avoided_rows.empty() && this->is_avoided(request, row)) {
            ++found.avoided;
            continue;
        }
        if (request.protected_reservation != nullptr &&
            !request.size.fits_in(request.protected_reservation->available_to_others(
                row, free_by_row[row], request.estimated_end))) {
            ++found.reserved;
            continue;
        }
        ++found.reason.candidates;
        const double value = this->score(request, row, free_by_row[row]);
        if (value < best) {
            best = value;
            found.row = row;
        }
    }
    if (found.row != no_row) {
        found.reason.scarcest = this->scarcest;
        found.reason.remaining = amount(free_by_row[found.row] - request.size, this->scarcest);
        found.reason.spread = request.job_tasks_by_rack != nullptr || request.pool_tasks_by_rack != nullptr;
    }
    return found;
}

std::vector<worker_selector::feasible_worker>
worker_selector::feasible_workers(const placement_request& request, std::size_t tasks) const {
    std::vector<feasible_worker> found;
    const auto& free_by_row = this->workers.free_by_row(request.urgent);
    for (row_index row = 0; row < free_by_row.size(); ++row) {
        if (!request.size.fits_in(free_by_row[row]) || this->is_avoided(request, row)) {
            continue;
        }
        const auto free = request.protected_reservation == nullptr
                              ? free_by_row[row]
                              : request.protected_reservation->available_to_others(row, free_by_row[row],
                                                                                   request.estimated_end);
        const auto count = count_fitting(request.size, free, static_cast<std::int64_t>(tasks));
        if (count > 0) {
            found.push_back(
                {.row = row, .count = count, .score = this->score(request, row, free_by_row[row])});
        }
    }
    return found;
}

std::vector<row_index> worker_selector::select_all(const placement_request& request,
                                                   std::size_t tasks) const {
    auto found = this->feasible_workers(request, tasks);
    std::int64_t total = 0;
    for (const auto& worker : found) {
        total += worker.count;
    }
    if (total < static_cast<std::int64_t>(tasks)) {
        return {};
    }
    std::stable_sort(
        found.begin(), found.end(),
        [](const feasible_worker& left, const feasible_worker& right) { return left.score < right.score; });
    const bool spread = request.job_tasks_by_rack != nullptr || request.pool_tasks_by_rack != nullptr;
    return spread ? this->fill_by_rack(found, tasks) : this->fill(found, tasks);
}

std::vector<row_index> worker_selector::fill(const std::vector<feasible_worker>& found,
                                             std::size_t tasks) const {
    std::vector<row_index> rows;
    for (const auto& worker : found) {
        const auto taken = std::min(tasks - rows.size(), static_cast<std::size_t>(worker.count));
        rows.insert(rows.end(), taken, worker.row);
    }
    return rows;
}

std::vector<row_index> worker_selector::fill_by_rack(const std::vector<feasible_worker>& found,
                                                     std::size_t tasks) const {
    std::vector<std::vector<feasible_worker>> racks(this->workers.rack_count());
    for (const auto& worker : found) {
        racks[this->workers.rows()[worker.row].rack].push_back(worker);
    }
    std::vector<row_index> rows;
    std::vector<std::size_t> next(racks.size());
    while (rows.size() < tasks) {
        for (std::size_t rack = 0; rack < racks.size() && rows.size() < tasks; ++rack) {
            if (next[rack] >= racks[rack].size()) {
                continue;
            }
            auto& worker = racks[rack][next[rack]];
            rows.push_back(worker.row);
            if (--worker.count == 0) {
                ++next[rack];
            }
        }
    }
    return rows;
}

} // namespace rattanmount::scheduling
