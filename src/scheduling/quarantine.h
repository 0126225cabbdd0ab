#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace rattanmount::scheduling {

/// Limits of a quarantine.
struct quarantine_options {
    std::uint32_t failure_threshold = 3;    ///< In a row, of different jobs that others finish.
    core::milliseconds probe_delay{60000};  ///< Until a probe; twice as long after each probe that failed.
    double max_share = 0.25;                ///< Of the workers that may be set aside at once; one always may.
    std::size_t max_remembered_jobs = 4096; ///< Jobs whose failures are remembered.
};

/// What a worker does in the quarantine's view.
enum class quarantine_phase : std::uint8_t {
    clear,       ///< Gets work as any other.
    quarantined, ///< Gets none until its time is over.
    probing      ///< Gets one task; its end decides.
};

/// Finds workers that fail what others finish.
///
/// A failure counts against a worker only when another worker finished a task of the same job and no third
/// one failed it, or when failures in a row come from several teams or pools whose work succeeds elsewhere. A
/// job that fails everywhere therefore sets no worker aside. Refused starts count without such proof. Owned
/// by the scheduler; the control thread only.
class quarantine {
public:
    explicit quarantine(const quarantine_options& options) : options(options) {}

    /// An attempt failed.
    /// @param worker where.
    /// @param job whose.
    /// @param pool its pool; with the job's team it tells what kind of work it is.
    /// @param now the time.
    void record_failure(const core::worker_id& worker, const core::job_id& job, const core::pool_id& pool,
                        core::steady_time now);

    /// An attempt finished.
    /// @param since when it had started; only work started after the worker was set aside clears it.
    void record_success(const core::worker_id& worker, const core::job_id& job, const core::pool_id& pool,
                        core::steady_time since, core::steady_time now);

    /// A worker refused a start that it should have taken.
    void record_refusal(const core::worker_id& worker, core::steady_time now);

    /// Lets time pass.
    void advance(core::steady_time now);

    /// Forgets a worker.
    void forget(const core::worker_id& worker);

    /// @param workers how many there are, for the limit on those set aside.
    void set_worker_count(std::size_t workers) { this->worker_count = workers; }

    [[nodiscard]] quarantine_phase phase(const core::worker_id& worker) const;

    /// @return the workers whose phase has changed since the last call.
    [[nodiscard]] std::vector<core::worker_id> take_changes();

    /// @return until when a worker is set aside; empty where it is not.
    [[nodiscard]] std::optional<core::steady_time> quarantined_until(const core::worker_id& worker) const;

    /// @return how many workers are set aside or probing.
    [[nodiscard]] std::size_t quarantined_count() const { return this->quarantined_workers.size(); }

private:
    struct work_class {
        core::team_id team;
        core::pool_id pool;
        friend auto operator<=>(const work_class&, const work_class&) = default;
    };
    struct failure_record {
        work_class work;
        bool confirmed = false;        ///< Another worker finished a task of the job.
        bool failed_elsewhere = false; ///< Another worker failed a task of the job too.
    };
    struct worker_record {
        std::map<core::job_id, failure_record> recent_failures; ///< Jobs failed since the last success.
        std::uint32_t refusals = 0;                             ///< Since the last success.
        std::uint32_t times_quarantined = 0;                    ///< Times set aside since it was clear.
        quarantine_phase phase = quarantine_phase::clear;
        core::steady_time quarantined_since;
        core::steady_time quarantined_until;
    };
    struct job_record {
        std::set<core::worker_id> failed_on;
        std::optional<core::worker_id> finished_on;
        std::list<core::job_id>::iterator lru_position;
    };

    job_record& find_or_add_job(const core::job_id& job);
    bool usually_succeeds(const work_class& work) const;
    void quarantine_if_faulty(const core::worker_id& worker, core::steady_time now);
    bool is_faulty(const worker_record& record) const;
    void quarantine_worker(const core::worker_id& worker, worker_record& record, core::steady_time now);
    void mark_failed_elsewhere(const core::job_id& job, const job_record& record);
    void confirm_failures(const core::job_id& job, const job_record& record, core::steady_time now);
    void restore(const core::worker_id& worker, worker_record& record);

    quarantine_options options;
    std::size_t worker_count = 0;
    std::map<core::worker_id, worker_record> workers;
    std::unordered_map<core::job_id, job_record> jobs;
    std::list<core::job_id> job_lru;               ///< The one seen last comes first.
    std::map<work_class, double> success_rates;    ///< Mean of 1 for a finish and 0 for a failure.
    std::set<core::worker_id> quarantined_workers; ///< Set aside or probing.
    std::set<core::worker_id> changed_workers;
};

} // namespace rattanmount::scheduling
