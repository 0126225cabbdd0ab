#include "scheduling/room_finder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattanmount::scheduling {

namespace {

/// Weights of the parts of a score; the first part that differs decides.
constexpr double per_job_task_in_rack = 1e9;
constexpr double per_pool_task_in_rack = 1e4;
constexpr double wasted_accelerators = 100.0;
constexpr double reserve_first = -10.0;
/// Weight of unevenness against what is left over of the scarcest amount.
constexpr double unevenness = 0.5;

double inverse(std::int64_t amount) {
    return amount <= 0 ? 0.0 : 1.0 / static_cast<double>(amount);
}

std::uint32_t count_in(const std::vector<std::uint32_t>* by_rack, std::uint32_t rack) {
    return by_rack == nullptr || rack >= by_rack->size() ? 0 : (*by_rack)[rack];
}

} // namespace

room_finder::room_finder(const worker_table& workers, dimension scarcest)
    : workers(workers), scarcest(scarcest), unit(workers.largest_capacity()),
      per_millicore(inverse(this->unit.millicores)), per_mb(inverse(this->unit.memory_mb)),
      per_accelerator(inverse(this->unit.accelerators)) {}

bool room_finder::is_avoided(const room_request& request, row_index row) const {
    return std::find(request.avoided.begin(), request.avoided.end(), row) != request.avoided.end();
}

double room_finder::score(const room_request& request, row_index row, const core::resources& room) const {
    const auto rest = room - request.size;
    const double processors = static_cast<double>(rest.millicores) * this->per_millicore;
    const double memory = static_cast<double>(rest.memory_mb) * this->per_mb;
    const double accelerators = static_cast<double>(rest.accelerators) * this->per_accelerator;
    double value = processors;
    if (this->scarcest != dimension::processors) {
        value = this->scarcest == dimension::memory ? memory : accelerators;
    }
    value += unevenness * std::abs(processors - memory);
    if (request.size.accelerators == 0 && room.accelerators > 0) {
        value += wasted_accelerators;
    }
    if (request.urgent && this->workers.rows()[row].reserve.millicores > 0) {
        value += reserve_first;
    }
    if (request.job_by_rack != nullptr || request.pool_by_rack != nullptr) {
        const auto rack = this->workers.rows()[row].rack;
        value += per_job_task_in_rack * count_in(request.job_by_rack, rack);
        value += per_pool_task_in_rack * count_in(request.pool_by_rack, rack);
    }
    return value;
}

room_found room_finder::find(const room_request& request) const {
    room_found found;
    double best = std::numeric_limits<double>::infinity();
    const auto& rooms = this->workers.rooms(request.urgent);
    const auto rows = static_cast<row_index>(rooms.size());
    for (row_index row = 0; row < rows; ++row) {
        if (!request.size.fits_in(rooms[row])) {
            continue;
        }
        if (!request.avoided.empty() && this->is_avoided(request, row)) {
            ++found.avoided;
            continue;
        }
        if (request.kept != nullptr &&
            !request.size.fits_in(request.kept->limit(row, rooms[row], request.end))) {
            ++found.kept_back;
            continue;
        }
        ++found.reason.candidates;
        const double value = this->score(request, row, rooms[row]);
        if (value < best) {
            best = value;
            found.row = row;
        }
    }
    if (found.row != no_row) {
        found.reason.scarcest = this->scarcest;
        found.reason.left_over = amount(rooms[found.row] - request.size, this->scarcest);
        found.reason.spread = request.job_by_rack != nullptr || request.pool_by_rack != nullptr;
    }
    return found;
}

std::vector<room_finder::option> room_finder::options(const room_request& request, std::size_t tasks) const {
    std::vector<option> found;
    const auto& rooms = this->workers.rooms(request.urgent);
    for (row_index row = 0; row < rooms.size(); ++row) {
        if (!request.size.fits_in(rooms[row]) || this->is_avoided(request, row)) {
            continue;
        }
        const auto room =
            request.kept == nullptr ? rooms[row] : request.kept->limit(row, rooms[row], request.end);
        const auto count = count_fitting(request.size, room, static_cast<std::int64_t>(tasks));
        if (count > 0) {
            found.push_back({.row = row, .count = count, .score = this->score(request, row, rooms[row])});
        }
    }
    return found;
}

std::vector<row_index> room_finder::find_all(const room_request& request, std::size_t tasks) const {
    auto found = this->options(request, tasks);
    std::int64_t total = 0;
    for (const auto& each : found) {
        total += each.count;
    }
    if (total < static_cast<std::int64_t>(tasks)) {
        return {};
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const option& left, const option& right) { return left.score < right.score; });
    const bool spread = request.job_by_rack != nullptr || request.pool_by_rack != nullptr;
    return spread ? this->fill_by_rack(found, tasks) : this->fill(found, tasks);
}

std::vector<row_index> room_finder::fill(const std::vector<option>& found, std::size_t tasks) const {
    std::vector<row_index> rows;
    for (const auto& each : found) {
        const auto taken = std::min(tasks - rows.size(), static_cast<std::size_t>(each.count));
        rows.insert(rows.end(), taken, each.row);
    }
    return rows;
}

std::vector<row_index> room_finder::fill_by_rack(const std::vector<option>& found, std::size_t tasks) const {
    std::vector<std::vector<option>> racks(this->workers.racks());
    for (const auto& each : found) {
        racks[this->workers.rows()[each.row].rack].push_back(each);
    }
    std::vector<row_index> rows;
    std::vector<std::size_t> next(racks.size());
    while (rows.size() < tasks) {
        for (std::size_t rack = 0; rack < racks.size() && rows.size() < tasks; ++rack) {
            if (next[rack] >= racks[rack].size()) {
                continue;
            }
            auto& each = racks[rack][next[rack]];
            rows.push_back(each.row);
            if (--each.count == 0) {
                ++next[rack];
            }
        }
    }
    return rows;
}

} // namespace rattanmount::scheduling
