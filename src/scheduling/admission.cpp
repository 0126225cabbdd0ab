#include "scheduling/admission.h"

#include "scheduling/dimension.h"

#include <algorithm>

namespace rattanmount::scheduling {

namespace {

/// Returns the resource with the highest demand, allocated and waiting, relative to the shard's capacity.
dimension scarcest_of(const shard_state& state) {
    const auto& capacity = state.workers.capacity();
    const auto requested = capacity - state.workers.total_free() + state.queue.waiting_demand();
    const auto load = [&](dimension which) {
        const auto total = amount(capacity, which);
        return total <= 0 ? 0.0 : static_cast<double>(amount(requested, which)) / static_cast<double>(total);
    };
    auto scarcest = dimension::processors;
    for (const auto which : {dimension::memory, dimension::accelerators}) {
        if (load(which) > load(scarcest)) {
            scarcest = which;
        }
    }
    return scarcest;
}

bool exceeds(std::int64_t sum, std::int64_t limit) {
    return limit > 0 && sum > limit;
}

bool exceeds_quota(const core::resources& sum, const core::resources& quota) {
    return exceeds(sum.millicores, quota.millicores) || exceeds(sum.memory_mb, quota.memory_mb) ||
           exceeds(sum.accelerators, quota.accelerators);
}

/// Caps a corrected amount, but never below the declared one. A limit of 0 means no limit.
std::int64_t capped(std::int64_t corrected, std::int64_t declared, std::int64_t limit) {
    return limit <= 0 ? corrected : std::max(declared, std::min(corrected, limit));
}

core::resources capped(const core::resources& corrected, const core::resources& declared,
                       const core::resources& limit) {
    return {.millicores = capped(corrected.millicores, declared.millicores, limit.millicores),
            .memory_mb = capped(corrected.memory_mb, declared.memory_mb, limit.memory_mb),
            .accelerators = declared.accelerators};
}

/// Returns the largest size of one task with which all tasks of a gang stay within the quota.
core::resources quota_per_task(const core::resources& quota, std::size_t tasks) {
    const auto count = static_cast<std::int64_t>(tasks);
    return {.millicores = quota.millicores / count,
            .memory_mb = quota.memory_mb / count,
            .accelerators = quota.accelerators / count};
}

} // namespace

admission::admission(const shard_state& state, core::steady_time now)
    : state(state), now(now), selector(state.workers, scarcest_of(state)) {}

core::resources admission::effective_size(const job_group& group, std::size_t tasks) const {
    const auto corrected = group.estimates->size(group.each);
    if (corrected == group.each) {
        return group.each;
    }
    const auto requested = static_cast<std::int64_t>(tasks);
    const auto& table = this->state.workers;
    auto size = capped(corrected, group.each, table.largest_capacity());
    size = capped(size, group.each, quota_per_task(group.team.quota(), tasks));
    const bool fits = table.fits_when_empty(size, group.pool.is_urgent()) &&
                      table.count_fitting_when_empty(size, group.pool.is_urgent(), requested) == requested;
    return fits ? size : group.each;
}

core::milliseconds admission::estimated_run_time(const job_group& group, const tracked_job& job) const {
    if (job.spec.kind == core::work_kind::service) {
        return core::milliseconds::max();
    }
    return group.estimates->run_time(job.spec.expected_run_time, this->state.options.default_run_time);
}

block_reason admission::check_limits(const job_group& group, const core::resources& requested) const {
    if (group.pool.policy == nullptr) {
        return block_reason::unknown_pool;
    }
    const auto& capacity = this->state.workers.capacity();
    if (capacity == core::resources{}) {
        return block_reason::no_worker;
    }
    if (exceeds_quota(group.team.allocated + group.team.remote_usage + requested, group.team.quota())) {
        return block_reason::team_quota;
    }
    const double limit = group.pool.policy->max_share;
    if (limit < 1.0 && (group.pool.allocated + requested).dominant_share(capacity) > limit) {
        return block_reason::pool_share;
    }
    return block_reason::none;
}

std::vector<row_index> admission::avoided_rows(const tracked_job& job, const core::resources& size) const {
    std::vector<row_index> avoided;
    for (const auto& worker : job.failed_on) {
        const auto row = this->state.workers.find(worker);
        if (row != no_row) {
            avoided.push_back(row);
        }
    }
    if (avoided.empty()) {
        return avoided;
    }
    const auto& rows = this->state.workers.rows();
    for (row_index row = 0; row < rows.size(); ++row) {
        const bool other = std::find(avoided.begin(), avoided.end(), row) == avoided.end();
        if (other && rows[row].is_schedulable() &&
            size.fits_in(rows[row].info.capacity - rows[row].reserve)) {
            return avoided;
        }
    }
    return {};
}

std::vector<std::uint32_t> admission::count_by_rack(const tracked_job& job) const {
    std::vector<std::uint32_t> counts(this->state.workers.rack_count());
    for (const auto& worker : job.placed_on) {
        const auto row = this->state.workers.find(worker.second);
        if (row != no_row) {
            ++counts[this->state.workers.rows()[row].rack];
        }
    }
    return counts;
}

row_index admission::probe_row(const job_group& group, const tracked_job& job,
                               const core::resources& size) const {
    const bool suitable = !group.is_gang && !group.pool.is_urgent() && job.spec.idempotent &&
                          job.spec.kind != core::work_kind::service;
    if (!suitable) {
        return no_row;
    }
    for (const auto row : this->state.workers.probing_rows()) {
        const auto& worker = this->state.workers.rows()[row];
        const bool probed = std::any_of(worker.allocations.begin(), worker.allocations.end(),
                                        [](const allocation* alloc) { return alloc->reason.probe; });
        const bool failed =
            std::find(job.failed_on.begin(), job.failed_on.end(), worker.info.name) != job.failed_on.end();
        if (worker.accepting && !probed && !failed && size.fits_in(worker.free(false))) {
            return row;
        }
    }
    return no_row;
}

admission_result admission::check(const job_group& group, const tracked_job& job, bool backfill) const {
    const auto tasks = admission::tasks_together(group, job);
    admission_result result{.size = this->effective_size(group, tasks),
                            .estimated_run_time = this->estimated_run_time(group, job)};
    result.blocked_by = this->check_limits(group, result.size * static_cast<std::int64_t>(tasks));
    if (result.blocked_by != block_reason::none) {
        return result;
    }
    const auto probe = this->probe_row(group, job, result.size);
    if (probe != no_row) {
        result.rows = {probe};
        result.reason = {.candidates = 1, .probe = true};
        return result;
    }
    const bool spread = group.pool.policy->spread;
    const bool spread_job = spread || job.spec.kind == core::work_kind::service;
    const auto job_racks = spread_job ? this->count_by_rack(job) : std::vector<std::uint32_t>{};
    placement_request request{.size = result.size,
                              .urgent = group.pool.is_urgent(),
                              .avoided_rows = this->avoided_rows(job, result.size),
                              .job_tasks_by_rack = spread_job ? &job_racks : nullptr,
                              .pool_tasks_by_rack = spread ? &group.pool.tasks_by_rack : nullptr};
    if (backfill && this->state.current_reservation.has_value() &&
        this->state.current_reservation->job != job.spec.id) {
        request.protected_reservation = &*this->state.current_reservation;
    }
    if (result.estimated_run_time != core::milliseconds::max()) {
        request.estimated_end = this->now + result.estimated_run_time;
    }
    if (tasks == 1) {
        const auto found = this->selector.select(request);
        result.reason = found.reason;
        if (found.row != no_row) {
            result.rows = {found.row};
            return result;
        }
        result.blocked_by = found.avoided > 0 ? block_reason::only_failed_workers : block_reason::no_capacity;
        result.blocked_by = found.reserved > 0 ? block_reason::reservation : result.blocked_by;
        return result;
    }
    result.rows = this->selector.select_all(request, tasks);
    result.reason = {.candidates = static_cast<std::uint32_t>(result.rows.size()),
                     .scarcest = this->selector.scarcest_dimension(),
                     .spread = spread_job};
    if (result.rows.empty()) {
        result.blocked_by = block_reason::no_capacity;
        if (request.protected_reservation != nullptr) {
            request.protected_reservation = nullptr;
            result.blocked_by = this->selector.select_all(request, tasks).empty() ? block_reason::no_capacity
                                                                                  : block_reason::reservation;
        }
    }
    return result;
}

} // namespace rattanmount::scheduling
