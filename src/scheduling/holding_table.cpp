#include "scheduling/holding_table.h"

#include <cassert>
#include <utility>

namespace rattanmount::scheduling {

holding& holding_table::hold(const holding& what) {
    const auto [place, made] = this->entries.try_emplace(what.attempt, what);
    assert(made);
    auto& kept = place->second;
    kept.team->held += kept.size;
    kept.pool->held += kept.size;
    this->count(kept);
    this->newest[{kept.attempt.job, kept.attempt.task}] = kept.attempt;
    return kept;
}

void holding_table::count(holding& what) {
    if (what.row == no_row) {
        return;
    }
    this->workers.add(what);
    what.rack = this->workers.rows()[what.row].rack;
    auto& racks = what.pool->tasks_by_rack;
    if (racks.size() <= what.rack) {
        racks.resize(what.rack + 1);
    }
    ++racks[what.rack];
}

holding& holding_table::bind(const core::attempt_id& unbound, const core::attempt_id& attempt) {
    auto node = this->entries.extract(unbound);
    assert(!node.empty());
    node.key() = attempt;
    node.mapped().attempt = attempt;
    this->newest[{attempt.job, attempt.task}] = attempt;
    return this->entries.insert(std::move(node)).position->second;
}

holding* holding_table::find(const core::attempt_id& attempt) {
    const auto known = this->entries.find(attempt);
    return known == this->entries.end() ? nullptr : &known->second;
}

const holding* holding_table::find(const core::attempt_id& attempt) const {
    const auto known = this->entries.find(attempt);
    return known == this->entries.end() ? nullptr : &known->second;
}

const holding* holding_table::of_task(const core::job_id& job, std::uint32_t task) const {
    const auto latest = this->newest.find({job, task});
    return latest == this->newest.end() ? nullptr : this->find(latest->second);
}

holding* holding_table::of_task(const core::job_id& job, std::uint32_t task) {
    const auto latest = this->newest.find({job, task});
    return latest == this->newest.end() ? nullptr : this->find(latest->second);
}

void holding_table::release(const core::attempt_id& attempt) {
    const auto known = this->entries.find(attempt);
    if (known == this->entries.end()) {
        return;
    }
    auto& what = known->second;
    what.team->held -= what.size;
    what.pool->held -= what.size;
    if (what.row != no_row) {
        --what.pool->tasks_by_rack[what.rack];
    }
    this->workers.take(what);
    const auto latest = this->newest.find({attempt.job, attempt.task});
    if (latest != this->newest.end() && latest->second == attempt) {
        this->newest.erase(latest);
    }
    this->entries.erase(known);
}

void holding_table::detach(row_index row) {
    const auto leaving = this->workers.rows()[row].holdings;
    for (auto* what : leaving) {
        --what->pool->tasks_by_rack[what->rack];
        this->workers.take(*what);
    }
}

void holding_table::attach(const core::worker_id& worker, row_index row) {
    for (auto& [attempt, what] : this->entries) {
        if (what.worker == worker && what.row == no_row) {
            what.row = row;
            this->count(what);
        }
    }
}

} // namespace rattanmount::scheduling
