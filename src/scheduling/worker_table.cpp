#include "scheduling/worker_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <set>

namespace rattanmount::scheduling {

namespace {

/// The room of a worker that may get no task: nothing fits in it, not even a task of size 0.
constexpr core::resources closed{.millicores = -1, .memory_mb = -1, .accelerators = -1};

core::resources share_of(const core::resources& whole, double share) {
    const auto part = [share](std::int64_t amount) {
        return static_cast<std::int64_t>(std::floor(static_cast<double>(amount) * share));
    };
    return {.millicores = part(whole.millicores),
            .memory_mb = part(whole.memory_mb),
            .accelerators = part(whole.accelerators)};
}

/// Orders workers in a way that stays the same for all others when one comes or goes.
std::size_t stable_order(const worker_info& info) {
    return std::hash<std::string>{}(info.name.value());
}

} // namespace

row_index worker_table::set(const worker_info& info) {
    auto row = this->find(info.name);
    if (row == no_row) {
        if (this->spare_rows.empty()) {
            row = static_cast<row_index>(this->table.size());
            this->table.emplace_back();
            this->urgent_rooms.push_back(closed);
            this->normal_rooms.push_back(closed);
        } else {
            row = this->spare_rows.back();
            this->spare_rows.pop_back();
        }
        this->by_name[info.name] = row;
        this->table[row] = worker_row{.info = info, .present = true};
    }
    auto& state = this->table[row];
    state.info = info;
    const auto next_rack = static_cast<std::uint32_t>(this->rack_numbers.size());
    state.rack = this->rack_numbers.try_emplace(info.rack, next_rack).first->second;
    this->changed = true;
    this->update(row);
    return row;
}

void worker_table::remove(row_index row) {
    auto& state = this->table.at(row);
    assert(state.holdings.empty());
    this->by_name.erase(state.info.name);
    std::erase(this->probe_rows, row);
    state = worker_row{};
    this->spare_rows.push_back(row);
    this->changed = true;
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
    this->changed = true;
    this->update(row);
}

void worker_table::set_standing(row_index row, worker_standing standing) {
    auto& state = this->table.at(row);
    if (state.standing == standing) {
        return;
    }
    state.standing = standing;
    std::erase(this->probe_rows, row);
    if (standing == worker_standing::probing) {
        this->probe_rows.push_back(row);
    }
    this->changed = true;
    this->update(row);
}

void worker_table::add(holding& what) {
    assert(what.row != no_row);
    auto& state = this->table.at(what.row);
    state.holdings.push_back(&what);
    state.occupied += what.occupied;
    if (!what.urgent) {
        state.occupied_normal += what.occupied;
    }
    this->update(what.row);
}

void worker_table::take(holding& what) {
    if (what.row == no_row) {
        return;
    }
    auto& state = this->table.at(what.row);
    const auto place = std::find(state.holdings.begin(), state.holdings.end(), &what);
    assert(place != state.holdings.end());
    *place = state.holdings.back();
    state.holdings.pop_back();
    state.occupied -= what.occupied;
    if (!what.urgent) {
        state.occupied_normal -= what.occupied;
    }
    this->update(what.row);
    what.row = no_row;
}

void worker_table::resize(holding& what, const core::resources& occupied) {
    if (what.row != no_row) {
        auto& state = this->table.at(what.row);
        state.occupied += occupied - what.occupied;
        if (!what.urgent) {
            state.occupied_normal += occupied - what.occupied;
        }
        this->update(what.row);
    }
    what.occupied = occupied;
}

void worker_table::update(row_index row) {
    const auto& state = this->table[row];
    const auto urgent = state.open() ? state.room(true) : closed;
    const auto normal = state.open() ? state.room(false) : closed;
    const bool grown = !urgent.fits_in(this->urgent_rooms[row]) || !normal.fits_in(this->normal_rooms[row]);
    this->urgent_rooms[row] = urgent;
    this->normal_rooms[row] = normal;
    if (grown) {
        this->note_growth(row);
    }
}

void worker_table::note_growth(row_index row) {
    ++this->growths;
    this->growth_ring[this->growths % remembered_growths] = row;
    if (this->growths > remembered_growths) {
        this->forgotten = this->growths - remembered_growths;
    }
}

bool worker_table::may_fit_since(std::uint64_t since, const core::resources& size, bool urgent) const {
    if (since == this->growths) {
        return false;
    }
    if (since < this->forgotten || this->growths - since > this->table.size()) {
        return true;
    }
    const auto& rooms = this->rooms(urgent);
    for (auto version = since + 1; version <= this->growths; ++version) {
        if (size.fits_in(rooms[this->growth_ring[version % remembered_growths]])) {
            return true;
        }
    }
    return false;
}

void worker_table::refresh_reserve() {
    if (!this->changed) {
        return;
    }
    this->changed = false;
    this->recount();
    this->assign_reserve();
    this->count_classes();
}

void worker_table::recount() {
    this->total = {};
    this->largest = {};
    for (const auto& row : this->table) {
        if (row.present) {
            this->largest = larger(this->largest, row.info.capacity);
        }
        if (row.present && row.accepting) {
            this->total += row.info.capacity;
        }
    }
}

/// Keeps whole workers free rather than a sliver of each, so that the reserve is of use to any size; what is
/// left of the share below one worker is a part of one more. Of a single worker of its kind nothing is kept.
void worker_table::assign_reserve() {
    std::map<std::vector<std::int64_t>, std::vector<row_index>> kinds;
    for (row_index row = 0; row < this->table.size(); ++row) {
        auto& state = this->table[row];
        state.reserve = {};
        if (state.open()) {
            const auto& has = state.info.capacity;
            kinds[{has.millicores, has.memory_mb, has.accelerators}].push_back(row);
        }
    }
    for (auto& [capacity, rows] : kinds) {
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
        for (std::size_t place = 0; place < rows.size() && left > 0.0; ++place, left -= 1.0) {
            auto& state = this->table[rows[place]];
            state.reserve = share_of(state.info.capacity, std::min(1.0, left));
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
        const capacity_class kind{.urgent = row.info.capacity, .normal = row.info.capacity - row.reserve};
        const auto known = std::find_if(this->classes.begin(), this->classes.end(), [&](const auto& other) {
            return other.urgent == kind.urgent && other.normal == kind.normal;
        });
        if (known == this->classes.end()) {
            this->classes.push_back(kind);
            this->classes.back().workers = 1;
        } else {
            ++known->workers;
        }
    }
}

bool worker_table::ever_fits(const core::resources& size, bool urgent) const {
    return std::any_of(this->classes.begin(), this->classes.end(),
                       [&](const auto& kind) { return size.fits_in(urgent ? kind.urgent : kind.normal); });
}

std::int64_t worker_table::ever_fitting(const core::resources& size, bool urgent, std::int64_t most) const {
    std::int64_t sum = 0;
    for (const auto& kind : this->classes) {
        sum += kind.workers * count_fitting(size, urgent ? kind.urgent : kind.normal, most);
    }
    return std::min(sum, most);
}

std::string worker_table::why_never(const core::resources& size, bool urgent) const {
    for (const auto which : {dimension::processors, dimension::memory, dimension::accelerators}) {
        const worker_row* most = nullptr;
        std::int64_t room = 0;
        for (const auto& row : this->table) {
            const auto has = amount(row.info.capacity - (urgent ? core::resources{} : row.reserve), which);
            if (row.present && (most == nullptr || has > room)) {
                most = &row;
                room = has;
            }
        }
        if (most != nullptr && amount(size, which) > room) {
            return "no worker has the " + std::string(to_string(which)) + ": a task takes " + size.text() +
                   ", the largest worker in this is " + most->info.name.value() + " with " +
                   most->info.capacity.text();
        }
    }
    return "no worker has enough of all amounts together: a task takes " + size.text() +
           ", the largest amounts of any worker are " + this->largest.text();
}

core::resources worker_table::free() const {
    core::resources sum;
    for (const auto& room : this->urgent_rooms) {
        sum += larger(room, {});
    }
    return sum;
}

core::resources worker_table::largest_free() const {
    core::resources most;
    double largest_share = -1.0;
    for (const auto& room : this->urgent_rooms) {
        const double share = room.dominant_share(this->largest);
        if (room.valid() && share > largest_share) {
            most = room;
            largest_share = share;
        }
    }
    return most;
}

} // namespace rattanmount::scheduling
