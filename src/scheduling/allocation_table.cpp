#include "scheduling/allocation_table.h"

#include <cassert>
#include <utility>

namespace rattanmount::scheduling {

allocation& allocation_table::add(const allocation& alloc) {
    const auto [position, inserted] = this->entries.try_emplace(alloc.attempt, alloc);
    assert(inserted);
    auto& added = position->second;
    added.team->allocated += added.size;
    added.pool->allocated += added.size;
    this->add_to_worker(added);
    this->newest_attempts[{added.attempt.job, added.attempt.task}] = added.attempt;
    return added;
}

void allocation_table::add_to_worker(allocation& alloc) {
    if (alloc.row == no_row) {
        return;
    }
    this->workers.add_allocation(alloc);
    alloc.rack = this->workers.rows()[alloc.row].rack;
    auto& racks = alloc.pool->tasks_by_rack;
    if (racks.size() <= alloc.rack) {
        racks.resize(alloc.rack + 1);
    }
    ++racks[alloc.rack];
}

allocation& allocation_table::bind(const core::attempt_id& unbound, const core::attempt_id& attempt) {
    auto node = this->entries.extract(unbound);
    assert(!node.empty());
    node.key() = attempt;
    node.mapped().attempt = attempt;
    this->newest_attempts[{attempt.job, attempt.task}] = attempt;
    return this->entries.insert(std::move(node)).position->second;
}

allocation* allocation_table::find(const core::attempt_id& attempt) {
    const auto known = this->entries.find(attempt);
    return known == this->entries.end() ? nullptr : &known->second;
}

const allocation* allocation_table::find(const core::attempt_id& attempt) const {
    const auto known = this->entries.find(attempt);
    return known == this->entries.end() ? nullptr : &known->second;
}

const allocation* allocation_table::of_task(const core::job_id& job, std::uint32_t task) const {
    const auto latest = this->newest_attempts.find({job, task});
    return latest == this->newest_attempts.end() ? nullptr : this->find(latest->second);
}

allocation* allocation_table::find_by_task(const core::job_id& job, std::uint32_t task) {
    const auto latest = this->newest_attempts.find({job, task});
    return latest == this->newest_attempts.end() ? nullptr : this->find(latest->second);
}

void allocation_table::release(const core::attempt_id& attempt) {
    const auto known = this->entries.find(attempt);
    if (known == this->entries.end()) {
        return;
    }
    auto& alloc = known->second;
    alloc.team->allocated -= alloc.size;
    alloc.pool->allocated -= alloc.size;
    if (alloc.row != no_row) {
        --alloc.pool->tasks_by_rack[alloc.rack];
    }
    this->workers.remove_allocation(alloc);
    const auto latest = this->newest_attempts.find({attempt.job, attempt.task});
    if (latest != this->newest_attempts.end() && latest->second == attempt) {
        this->newest_attempts.erase(latest);
    }
    this->entries.erase(known);
}

void allocation_table::detach_worker(row_index row) {
    const auto leaving = this->workers.rows()[row].allocations;
    for (auto* alloc : leaving) {
        --alloc->pool->tasks_by_rack[alloc->rack];
        this->workers.remove_allocation(*alloc);
    }
}

void allocation_table::attach_worker(const core::worker_id& worker, row_index row) {
    for (auto& [attempt, alloc] : this->entries) {
        if (alloc.worker == worker && alloc.row == no_row) {
            alloc.row = row;
            this->add_to_worker(alloc);
        }
    }
}

} // namespace rattanmount::scheduling
