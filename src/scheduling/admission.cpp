#include "scheduling/admission.h"

#include "scheduling/dimension.h"

#include <algorithm>

namespace rattanmount::scheduling {

namespace {

/// The dimension of which most is held and asked for, against what the shard has.
dimension scarcest_of(const shard_state& state) {
    const auto& capacity = state.workers.capacity();
    const auto wanted = capacity - state.workers.free() + state.queue.demand();
    const auto load = [&](dimension which) {
        const auto whole = amount(capacity, which);
        return whole <= 0 ? 0.0 : static_cast<double>(amount(wanted, which)) / static_cast<double>(whole);
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

/// Lowers a corrected amount to its limit, but never below the declared one. A limit of 0 is none.
std::int64_t bounded(std::int64_t corrected, std::int64_t declared, std::int64_t limit) {
    return limit <= 0 ? corrected : std::max(declared, std::min(corrected, limit));
}

core::resources bounded(const core::resources& corrected, const core::resources& declared,
                        const core::resources& limit) {
    return {.millicores = bounded(corrected.millicores, declared.millicores, limit.millicores),
            .memory_mb = bounded(corrected.memory_mb, declared.memory_mb, limit.memory_mb),
            .accelerators = declared.accelerators};
}

/// What each task may count with at most, so that all of a gang stay within the quota together.
core::resources quota_for_each(const core::resources& quota, std::size_t tasks) {
    const auto count = static_cast<std::int64_t>(tasks);
    return {.millicores = quota.millicores / count,
            .memory_mb = quota.memory_mb / count,
            .accelerators = quota.accelerators / count};
}

} // namespace

admission::admission(const shard_state& state, core::steady_time now)
    : state(state), now(now), rooms(state.workers, scarcest_of(state)) {}

core::resources admission::counted_size(const job_group& group, std::size_t tasks) const {
    const auto seen = group.history->size(group.each);
    if (seen == group.each) {
        return group.each;
    }
    const auto wanted = static_cast<std::int64_t>(tasks);
    const auto& table = this->state.workers;
    auto size = bounded(seen, group.each, table.largest_capacity());
    size = bounded(size, group.each, quota_for_each(group.team.quota(), tasks));
    const bool fits = table.ever_fits(size, group.pool.urgent()) &&
                      table.ever_fitting(size, group.pool.urgent(), wanted) == wanted;
    return fits ? size : group.each;
}

core::milliseconds admission::expected_time(const job_group& group, const waiting_job& job) const {
    if (job.spec.kind == core::work_kind::service) {
        return core::milliseconds::max();
    }
    return group.history->run_time(job.spec.expected_run_time, this->state.options.default_run_time);
}

gate admission::before_room(const job_group& group, const core::resources& wanted) const {
    if (group.pool.policy == nullptr) {
        return gate::pool_unknown;
    }
    const auto& capacity = this->state.workers.capacity();
    if (capacity == core::resources{}) {
        return gate::no_worker;
    }
    if (exceeds_quota(group.team.held + group.team.remote + wanted, group.team.quota())) {
        return gate::team_quota;
    }
    const double limit = group.pool.policy->max_share;
    if (limit < 1.0 && (group.pool.held + wanted).dominant_share(capacity) > limit) {
        return gate::pool_share;
    }
    return gate::open;
}

std::vector<row_index> admission::avoided_rows(const waiting_job& job, const core::resources& size) const {
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
        if (other && rows[row].open() && size.fits_in(rows[row].info.capacity - rows[row].reserve)) {
            return avoided;
        }
    }
    return {};
}

std::vector<std::uint32_t> admission::job_by_rack(const waiting_job& job) const {
    std::vector<std::uint32_t> counts(this->state.workers.racks());
    for (const auto& worker : job.placed_on) {
        const auto row = this->state.workers.find(worker.second);
        if (row != no_row) {
            ++counts[this->state.workers.rows()[row].rack];
        }
    }
    return counts;
}

row_index admission::probe_row(const job_group& group, const waiting_job& job,
                               const core::resources& size) const {
    const bool suitable = !group.gang && !group.pool.urgent() && job.spec.idempotent &&
                          job.spec.kind != core::work_kind::service;
    if (!suitable) {
        return no_row;
    }
    for (const auto row : this->state.workers.probes()) {
        const auto& worker = this->state.workers.rows()[row];
        const bool probed = std::any_of(worker.holdings.begin(), worker.holdings.end(),
                                        [](const holding* what) { return what->reason.probe; });
        const bool failed =
            std::find(job.failed_on.begin(), job.failed_on.end(), worker.info.name) != job.failed_on.end();
        if (worker.accepting && !probed && !failed && size.fits_in(worker.room(false))) {
            return row;
        }
    }
    return no_row;
}

admission_result admission::check(const job_group& group, const waiting_job& job, bool backfill) const {
    const auto tasks = admission::tasks_together(group, job);
    admission_result result{.size = this->counted_size(group, tasks),
                            .expected_time = this->expected_time(group, job)};
    result.stopped_by = this->before_room(group, result.size * static_cast<std::int64_t>(tasks));
    if (result.stopped_by != gate::open) {
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
    const auto racks = spread_job ? this->job_by_rack(job) : std::vector<std::uint32_t>{};
    room_request request{.size = result.size,
                         .urgent = group.pool.urgent(),
                         .avoided = this->avoided_rows(job, result.size),
                         .job_by_rack = spread_job ? &racks : nullptr,
                         .pool_by_rack = spread ? &group.pool.tasks_by_rack : nullptr};
    if (backfill && this->state.reserved.has_value() && this->state.reserved->job != job.spec.id) {
        request.kept = &*this->state.reserved;
    }
    if (result.expected_time != core::milliseconds::max()) {
        request.end = this->now + result.expected_time;
    }
    if (tasks == 1) {
        const auto found = this->rooms.find(request);
        result.reason = found.reason;
        if (found.row != no_row) {
            result.rows = {found.row};
            return result;
        }
        result.stopped_by = found.avoided > 0 ? gate::failed_there : gate::room;
        result.stopped_by = found.kept_back > 0 ? gate::reservation : result.stopped_by;
        return result;
    }
    result.rows = this->rooms.find_all(request, tasks);
    result.reason = {.candidates = static_cast<std::uint32_t>(result.rows.size()),
                     .scarcest = this->rooms.scarcest_dimension(),
                     .spread = spread_job};
    if (result.rows.empty()) {
        result.stopped_by = gate::room;
        if (request.kept != nullptr) {
            request.kept = nullptr;
            result.stopped_by = this->rooms.find_all(request, tasks).empty() ? gate::room : gate::reservation;
        }
    }
    return result;
}

} // namespace rattanmount::scheduling
