#include "scheduling/quarantine.h"

#include <algorithm>
#include <cmath>

namespace rattanmount::scheduling {

namespace {

/// Weight of the newest attempt in the success rate of a work class.
constexpr double newest_weight = 0.1;
/// Success rate from which on a work class counts as usually successful.
constexpr double min_success_rate = 0.5;
/// Work classes with a success rate; further ones are not recorded.
constexpr std::size_t max_work_classes = 4096;
/// Work classes that unconfirmed failures must come from to count against a worker.
constexpr std::size_t min_work_classes = 2;
/// How many times the time in quarantine doubles at most.
constexpr std::uint32_t max_doublings = 4;
/// Consecutive failures remembered per worker.
constexpr std::size_t max_recent_failures = 32;
/// Failed workers remembered per job.
constexpr std::size_t max_failed_on = 8;

} // namespace

quarantine::job_record& quarantine::find_or_add_job(const core::job_id& job) {
    const auto known = this->jobs.find(job);
    if (known != this->jobs.end()) {
        this->job_lru.splice(this->job_lru.begin(), this->job_lru, known->second.lru_position);
        return known->second;
    }
    if (this->jobs.size() >= this->options.max_remembered_jobs) {
        this->jobs.erase(this->job_lru.back());
        this->job_lru.pop_back();
    }
    this->job_lru.push_front(job);
    auto& added = this->jobs[job];
    added.lru_position = this->job_lru.begin();
    return added;
}

bool quarantine::usually_succeeds(const work_class& work) const {
    const auto known = this->success_rates.find(work);
    return known != this->success_rates.end() && known->second >= min_success_rate;
}

void quarantine::record_failure(const core::worker_id& worker, const core::job_id& job,
                                const core::pool_id& pool, core::steady_time now) {
    const work_class work{.team = job.team, .pool = pool};
    const auto rate = this->success_rates.find(work);
    if (rate != this->success_rates.end()) {
        rate->second -= newest_weight * rate->second;
    }
    auto& record = this->workers[worker];
    auto& history = this->find_or_add_job(job);
    if (history.failed_on.size() < max_failed_on) {
        history.failed_on.insert(worker);
    }
    const bool finished_elsewhere = history.finished_on.has_value() && *history.finished_on != worker;
    const bool failed_elsewhere = history.failed_on.size() > 1 && !finished_elsewhere;
    if (failed_elsewhere) {
        this->mark_failed_elsewhere(job, history);
    }
    if (record.phase == quarantine_phase::probing && !failed_elsewhere) {
        this->quarantine_worker(worker, record, now);
        return;
    }
    if (record.recent_failures.size() < max_recent_failures) {
        record.recent_failures[job] = {.work = work,
                                       .confirmed = finished_elsewhere && history.failed_on.size() == 1,
                                       .failed_elsewhere = failed_elsewhere};
    }
    this->quarantine_if_faulty(worker, now);
}

void quarantine::mark_failed_elsewhere(const core::job_id& job, const job_record& record) {
    for (const auto& worker : record.failed_on) {
        const auto failed_worker = this->workers.find(worker);
        if (failed_worker == this->workers.end()) {
            continue;
        }
        const auto failure = failed_worker->second.recent_failures.find(job);
        if (failure != failed_worker->second.recent_failures.end()) {
            failure->second.failed_elsewhere = true;
        }
    }
}

void quarantine::forget(const core::worker_id& worker) {
    this->workers.erase(worker);
    this->quarantined_workers.erase(worker);
    this->changed_workers.erase(worker);
}

void quarantine::record_success(const core::worker_id& worker, const core::job_id& job,
                                const core::pool_id& pool, core::steady_time since, core::steady_time now) {
    const work_class work{.team = job.team, .pool = pool};
    if (this->success_rates.size() < max_work_classes || this->success_rates.contains(work)) {
        auto& rate = this->success_rates.try_emplace(work, 1.0).first->second;
        rate += newest_weight * (1.0 - rate);
    }
    const auto known = this->workers.find(worker);
    if (known != this->workers.end()) {
        auto& record = known->second;
        record.recent_failures.clear();
        record.refusals = 0;
        if (record.phase != quarantine_phase::clear && since >= record.quarantined_since) {
            this->restore(worker, record);
        }
    }
    const auto history = this->jobs.find(job);
    if (history == this->jobs.end()) {
        return;
    }
    history->second.finished_on = worker;
    this->confirm_failures(job, history->second, now);
}

void quarantine::confirm_failures(const core::job_id& job, const job_record& record, core::steady_time now) {
    for (const auto& worker : record.failed_on) {
        const auto failed_worker = this->workers.find(worker);
        if (worker == record.finished_on || failed_worker == this->workers.end()) {
            continue;
        }
        const auto failure = failed_worker->second.recent_failures.find(job);
        if (failure != failed_worker->second.recent_failures.end()) {
            failure->second.confirmed = true;
            this->quarantine_if_faulty(worker, now);
        }
    }
}

void quarantine::record_refusal(const core::worker_id& worker, core::steady_time now) {
    auto& record = this->workers[worker];
    ++record.refusals;
    if (record.phase == quarantine_phase::probing) {
        this->quarantine_worker(worker, record, now);
        return;
    }
    this->quarantine_if_faulty(worker, now);
}

void quarantine::quarantine_if_faulty(const core::worker_id& worker, core::steady_time now) {
    auto& record = this->workers[worker];
    if (record.phase != quarantine_phase::clear || !this->is_faulty(record)) {
        return;
    }
    const auto limit = std::max(1.0, this->options.max_share * static_cast<double>(this->worker_count));
    if (static_cast<double>(this->quarantined_count() + 1) <= limit) {
        this->quarantine_worker(worker, record, now);
    }
}

bool quarantine::is_faulty(const worker_record& record) const {
    if (record.refusals >= this->options.failure_threshold) {
        return true;
    }
    std::uint32_t confirmed = 0;
    std::uint32_t likely = 0;
    std::set<work_class> classes;
    for (const auto& [job, failure] : record.recent_failures) {
        confirmed += failure.confirmed ? 1 : 0;
        if (failure.confirmed || (!failure.failed_elsewhere && this->usually_succeeds(failure.work))) {
            ++likely;
            classes.insert(failure.work);
        }
    }
    if (confirmed >= this->options.failure_threshold) {
        return true;
    }
    return likely >= this->options.failure_threshold && classes.size() >= min_work_classes;
}

void quarantine::quarantine_worker(const core::worker_id& worker, worker_record& record,
                                   core::steady_time now) {
    const auto doublings = std::min(record.times_quarantined, max_doublings);
    ++record.times_quarantined;
    record.phase = quarantine_phase::quarantined;
    record.quarantined_since = now;
    record.quarantined_until = now + this->options.probe_delay * (1U << doublings);
    record.recent_failures.clear();
    record.refusals = 0;
    this->quarantined_workers.insert(worker);
    this->changed_workers.insert(worker);
}

void quarantine::restore(const core::worker_id& worker, worker_record& record) {
    record.phase = quarantine_phase::clear;
    record.times_quarantined = 0;
    this->quarantined_workers.erase(worker);
    this->changed_workers.insert(worker);
}

void quarantine::advance(core::steady_time now) {
    for (const auto& worker : this->quarantined_workers) {
        auto& record = this->workers[worker];
        if (record.phase == quarantine_phase::quarantined && now >= record.quarantined_until) {
            record.phase = quarantine_phase::probing;
            this->changed_workers.insert(worker);
        }
    }
}

quarantine_phase quarantine::phase(const core::worker_id& worker) const {
    const auto known = this->workers.find(worker);
    return known == this->workers.end() ? quarantine_phase::clear : known->second.phase;
}

std::vector<core::worker_id> quarantine::take_changes() {
    std::vector<core::worker_id> changed(this->changed_workers.begin(), this->changed_workers.end());
    this->changed_workers.clear();
    return changed;
}

std::optional<core::steady_time> quarantine::quarantined_until(const core::worker_id& worker) const {
    const auto known = this->workers.find(worker);
    if (known == this->workers.end() || known->second.phase != quarantine_phase::quarantined) {
        return std::nullopt;
    }
    return known->second.quarantined_until;
}

} // namespace rattanmount::scheduling
