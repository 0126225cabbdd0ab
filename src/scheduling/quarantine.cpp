#include "scheduling/quarantine.h"

#include <algorithm>
#include <cmath>

namespace rattanmount::scheduling {

namespace {

/// Weight of the newest end in the mean of a kind of work.
constexpr double newest = 0.1;
/// A kind of work succeeds where its mean is at least this.
constexpr double succeeding = 0.5;
/// Kinds of work remembered at most.
constexpr std::size_t remembered_kinds = 4096;
/// Teams or pools from which unconfirmed failures must come.
constexpr std::size_t several_kinds = 2;
/// The time set aside grows up to this factor.
constexpr std::uint32_t max_doublings = 4;
/// Failures in a row that are remembered of a worker.
constexpr std::size_t longest_streak = 32;
/// Workers remembered as having failed one job.
constexpr std::size_t most_failed_on = 8;

} // namespace

quarantine::job_record& quarantine::remember(const core::job_id& job) {
    const auto known = this->jobs.find(job);
    if (known != this->jobs.end()) {
        this->job_uses.splice(this->job_uses.begin(), this->job_uses, known->second.use);
        return known->second;
    }
    if (this->jobs.size() >= this->options.remembered_jobs) {
        this->jobs.erase(this->job_uses.back());
        this->job_uses.pop_back();
    }
    this->job_uses.push_front(job);
    auto& made = this->jobs[job];
    made.use = this->job_uses.begin();
    return made;
}

bool quarantine::succeeds_elsewhere(const work_class& kind) const {
    const auto known = this->success.find(kind);
    return known != this->success.end() && known->second >= succeeding;
}

void quarantine::failed(const core::worker_id& worker, const core::job_id& job, const core::pool_id& pool,
                        core::steady_time now) {
    const work_class kind{.team = job.team, .pool = pool};
    const auto mean = this->success.find(kind);
    if (mean != this->success.end()) {
        mean->second -= newest * mean->second;
    }
    auto& record = this->workers[worker];
    auto& evidence = this->remember(job);
    if (evidence.failed_on.size() < most_failed_on) {
        evidence.failed_on.insert(worker);
    }
    const bool finished_elsewhere = evidence.finished_on.has_value() && *evidence.finished_on != worker;
    const bool doubtful = evidence.failed_on.size() > 1 && !finished_elsewhere;
    if (doubtful) {
        this->doubt(job, evidence);
    }
    if (record.phase == quarantine_phase::probing && !doubtful) {
        this->set_aside(worker, record, now);
        return;
    }
    if (record.streak.size() < longest_streak) {
        record.streak[job] = {.kind = kind,
                              .confirmed = finished_elsewhere && evidence.failed_on.size() == 1,
                              .doubtful = doubtful};
    }
    this->judge(worker, now);
}

void quarantine::doubt(const core::job_id& job, const job_record& record) {
    for (const auto& worker : record.failed_on) {
        const auto accused = this->workers.find(worker);
        if (accused == this->workers.end()) {
            continue;
        }
        const auto failure = accused->second.streak.find(job);
        if (failure != accused->second.streak.end()) {
            failure->second.doubtful = true;
        }
    }
}

void quarantine::forget(const core::worker_id& worker) {
    this->workers.erase(worker);
    this->confined.erase(worker);
    this->changes.erase(worker);
}

void quarantine::finished(const core::worker_id& worker, const core::job_id& job, const core::pool_id& pool,
                          core::steady_time since, core::steady_time now) {
    const work_class kind{.team = job.team, .pool = pool};
    if (this->success.size() < remembered_kinds || this->success.contains(kind)) {
        auto& mean = this->success.try_emplace(kind, 1.0).first->second;
        mean += newest * (1.0 - mean);
    }
    const auto known = this->workers.find(worker);
    if (known != this->workers.end()) {
        auto& record = known->second;
        record.streak.clear();
        record.refusals = 0;
        if (record.phase != quarantine_phase::clear && since >= record.since) {
            this->clear(worker, record);
        }
    }
    const auto evidence = this->jobs.find(job);
    if (evidence == this->jobs.end()) {
        return;
    }
    evidence->second.finished_on = worker;
    this->confirm(job, evidence->second, now);
}

void quarantine::confirm(const core::job_id& job, const job_record& record, core::steady_time now) {
    for (const auto& worker : record.failed_on) {
        const auto accused = this->workers.find(worker);
        if (worker == record.finished_on || accused == this->workers.end()) {
            continue;
        }
        const auto failure = accused->second.streak.find(job);
        if (failure != accused->second.streak.end()) {
            failure->second.confirmed = true;
            this->judge(worker, now);
        }
    }
}

void quarantine::refused(const core::worker_id& worker, core::steady_time now) {
    auto& record = this->workers[worker];
    ++record.refusals;
    if (record.phase == quarantine_phase::probing) {
        this->set_aside(worker, record, now);
        return;
    }
    this->judge(worker, now);
}

void quarantine::judge(const core::worker_id& worker, core::steady_time now) {
    auto& record = this->workers[worker];
    if (record.phase != quarantine_phase::clear || !this->guilty(record)) {
        return;
    }
    const auto limit = std::max(1.0, this->options.max_share * static_cast<double>(this->worker_count));
    if (static_cast<double>(this->count() + 1) <= limit) {
        this->set_aside(worker, record, now);
    }
}

bool quarantine::guilty(const worker_record& record) const {
    if (record.refusals >= this->options.failures) {
        return true;
    }
    std::uint32_t confirmed = 0;
    std::uint32_t likely = 0;
    std::set<work_class> kinds;
    for (const auto& [job, failure] : record.streak) {
        confirmed += failure.confirmed ? 1 : 0;
        if (failure.confirmed || (!failure.doubtful && this->succeeds_elsewhere(failure.kind))) {
            ++likely;
            kinds.insert(failure.kind);
        }
    }
    if (confirmed >= this->options.failures) {
        return true;
    }
    return likely >= this->options.failures && kinds.size() >= several_kinds;
}

void quarantine::set_aside(const core::worker_id& worker, worker_record& record, core::steady_time now) {
    const auto doublings = std::min(record.strikes, max_doublings);
    ++record.strikes;
    record.phase = quarantine_phase::set_aside;
    record.since = now;
    record.until = now + this->options.time * (1U << doublings);
    record.streak.clear();
    record.refusals = 0;
    this->confined.insert(worker);
    this->changes.insert(worker);
}

void quarantine::clear(const core::worker_id& worker, worker_record& record) {
    record.phase = quarantine_phase::clear;
    record.strikes = 0;
    this->confined.erase(worker);
    this->changes.insert(worker);
}

void quarantine::advance(core::steady_time now) {
    for (const auto& worker : this->confined) {
        auto& record = this->workers[worker];
        if (record.phase == quarantine_phase::set_aside && now >= record.until) {
            record.phase = quarantine_phase::probing;
            this->changes.insert(worker);
        }
    }
}

quarantine_phase quarantine::phase(const core::worker_id& worker) const {
    const auto known = this->workers.find(worker);
    return known == this->workers.end() ? quarantine_phase::clear : known->second.phase;
}

std::vector<core::worker_id> quarantine::take_changes() {
    std::vector<core::worker_id> changed(this->changes.begin(), this->changes.end());
    this->changes.clear();
    return changed;
}

std::optional<core::steady_time> quarantine::until(const core::worker_id& worker) const {
    const auto known = this->workers.find(worker);
    if (known == this->workers.end() || known->second.phase != quarantine_phase::set_aside) {
        return std::nullopt;
    }
    return known->second.until;
}

} // namespace rattanmount::scheduling
