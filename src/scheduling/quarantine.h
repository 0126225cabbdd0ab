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

/// Options of a quarantine.
struct quarantine_options {
    /// Consecutive failures that put a worker in quarantine; class quarantine says which failures count.
    std::uint32_t failure_threshold = 3;
    core::milliseconds probe_delay{60000}; ///< Time before a probe; doubles after each failed probe.
    /// Largest share of the workers in quarantine; one worker is always allowed.
    double max_share = 0.25;
    /// Jobs whose failures are remembered; the least recently used is evicted.
    std::size_t max_remembered_jobs = 4096;
};

/// The state of a worker with regard to quarantine.
enum class quarantine_phase : std::uint8_t {
    clear,       ///< Not in quarantine.
    quarantined, ///< Gets no tasks until its time in quarantine is over.
    probing      ///< Gets one task; if it finishes, the worker leaves quarantine.
};

/// Detects faulty workers: those that fail tasks that other workers finish.
///
/// A failure counts against a worker only if another worker finished a task of the same job and no third
/// worker failed it, or if consecutive failures come from several teams or pools whose tasks usually succeed.
/// A job that fails on every worker therefore puts none in quarantine. Refused starts always count. Owned by
/// the scheduler; used on the control thread only.
class quarantine {
public:
    explicit quarantine(const quarantine_options& options) : options(options) {}

    /// Records that an attempt failed.
    /// @param worker the worker that it ran on.
    /// @param job the attempt's job.
    /// @param pool the job's pool; team and pool together make the class of work.
    /// @param now the current time.
    void record_failure(const core::worker_id& worker, const core::job_id& job, const core::pool_id& pool,
                        core::steady_time now);

    /// Records that an attempt finished.
    /// @param since when it started; a worker leaves quarantine only for an attempt that started after it
    ///        entered.
    void record_success(const core::worker_id& worker, const core::job_id& job, const core::pool_id& pool,
                        core::steady_time since, core::steady_time now);

    /// Records that a worker refused a start that it should have accepted.
    void record_refusal(const core::worker_id& worker, core::steady_time now);

    /// Moves workers whose time in quarantine is over to the probing phase.
    void advance(core::steady_time now);

    void forget(const core::worker_id& worker);

    /// @param workers how many workers there are, for the limit on quarantined ones.
    void set_worker_count(std::size_t workers) { this->worker_count = workers; }

    [[nodiscard]] quarantine_phase phase(const core::worker_id& worker) const;

    /// @return the workers whose phase has changed since the last call.
    [[nodiscard]] std::vector<core::worker_id> take_changes();

    /// @return when the worker's time in quarantine ends; empty if it is not in the quarantined phase.
    [[nodiscard]] std::optional<core::steady_time> quarantined_until(const core::worker_id& worker) const;

    /// @return how many workers are quarantined or probing.
    [[nodiscard]] std::size_t quarantined_count() const { return this->quarantined_workers.size(); }

private:
    /// Work of one team in one pool, which is assumed to fail or succeed alike.
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
        std::map<core::job_id, failure_record> recent_failures; ///< By job, since the last success.
        std::uint32_t refusals = 0;                             ///< Since the last success.
        std::uint32_t times_quarantined = 0;                    ///< Since it was last clear.
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
    std::list<core::job_id> job_lru;               ///< The most recently used comes first.
    std::map<work_class, double> success_rates;    ///< Moving average: 1 for a success, 0 for a failure.
    std::set<core::worker_id> quarantined_workers; ///< Quarantined or probing.
    std::set<core::worker_id> changed_workers;
};

} // namespace rattanmount::scheduling
