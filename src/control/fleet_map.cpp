#include "control/fleet_map.h"

#include <algorithm>

namespace rattanmount::control {

fleet_map::fleet_map(const ledger::config_state_machine& config, const cell::cell_layout& layout)
    : config(config), layout(layout) {}

bool fleet_map::update(const external::fleet_list& new_list) {
    if (this->list && new_list.version < this->list->version) {
        return false;
    }
    this->list = new_list;
    return true;
}

std::vector<external::listed_host> fleet_map::hosts() const {
    return this->list ? this->list->hosts : std::vector<external::listed_host>{};
}

std::vector<external::listed_worker> fleet_map::workers_of(core::shard_id shard) const {
    std::vector<external::listed_worker> found;
    if (!this->list) {
        return found;
    }
    for (const auto& worker : this->list->workers) {
        if (this->config.shard_of(worker.rack) == shard) {
            found.push_back(worker);
        }
    }
    return found;
}

std::vector<routing::executor_info> fleet_map::executors_of(core::shard_id shard) const {
    std::vector<routing::executor_info> found;
    if (!this->list) {
        return found;
    }
    for (const auto& executor : this->list->executors) {
        if (!executor.leaving && this->config.shard_of(executor.rack) == shard) {
            found.push_back({.name = executor.name,
                             .address = executor.address,
                             .service = executor.service,
                             .slots = executor.slots});
        }
    }
    return found;
}

std::map<core::rack_id, core::shard_id> fleet_map::racks_to_assign() const {
    std::map<core::rack_id, core::shard_id> assigned;
    if (!this->list) {
        return assigned;
    }
    std::map<core::rack_id, core::data_centre_id> unassigned;
    const auto add_if_unassigned = [&](const auto& machine) {
        if (!this->config.shard_of(machine.rack)) {
            unassigned[machine.rack] = machine.data_centre;
        }
    };
    std::ranges::for_each(this->list->workers, add_if_unassigned);
    std::ranges::for_each(this->list->executors, add_if_unassigned);
    std::map<core::shard_id, std::size_t> rack_counts;
    for (const auto& [rack, shard] : this->config.racks()) {
        ++rack_counts[shard];
    }
    for (const auto& [rack, data_centre] : unassigned) {
        const auto shards = this->layout.shards_in(data_centre);
        if (shards.empty()) {
            continue;
        }
        const auto best_shard =
            std::ranges::min(shards, {}, [&](const core::shard_id& shard) { return rack_counts[shard]; });
        ++rack_counts[best_shard];
        assigned[rack] = best_shard;
    }
    return assigned;
}

fleet_map::region_capacity fleet_map::capacity_of(const core::job_spec& spec,
                                                  const core::region_id& region) const {
    const auto& shards = this->layout.shards_of(region);
    region_capacity summary;
    for (const auto& worker : this->list->workers) {
        const auto shard = this->config.shard_of(worker.rack);
        if (!shard || std::ranges::find(shards, *shard) == shards.end()) {
            continue;
        }
        const auto& capacity = worker.capacity;
        summary.one_task_fits = summary.one_task_fits || spec.each.fits_in(capacity);
        summary.shard_totals[*shard] += capacity;
        summary.largest = {.millicores = std::max(summary.largest.millicores, capacity.millicores),
                           .memory_mb = std::max(summary.largest.memory_mb, capacity.memory_mb),
                           .accelerators = std::max(summary.largest.accelerators, capacity.accelerators)};
    }
    return summary;
}

std::optional<std::string> fleet_map::never_fits(const core::job_spec& spec,
                                                 const core::region_id& region) const {
    if (!this->list || spec.kind == core::work_kind::quick) {
        return std::nullopt;
    }
    const auto summary = this->capacity_of(spec, region);
    if (summary.shard_totals.empty()) {
        return std::nullopt;
    }
    if (!summary.one_task_fits) {
        const auto excess = spec.each.first_excess(summary.largest);
        return "no worker can ever run a task of " + spec.each.text() + ": " +
               (excess.empty() ? "no single worker has enough of all three resources"
                               : excess + " exceed the largest worker") +
               " (" + summary.largest.text() + ")";
    }
    const auto all = spec.each * spec.tasks;
    const bool fits_together = std::ranges::any_of(
        summary.shard_totals, [&](const auto& entry) { return all.fits_in(entry.second); });
    if (spec.kind != core::work_kind::gang || fits_together) {
        return std::nullopt;
    }
    return "no shard has room for all " + std::to_string(spec.tasks) +
           " tasks of the gang at once: " + all.text();
}

} // namespace rattanmount::control
