#pragma once

#include "core/ids.h"
#include "scheduling/allocation.h"
#include "scheduling/worker_table.h"

#include <unordered_map>

namespace rattanmount::scheduling {

/// Hashes attempts.
struct attempt_hash {
    std::size_t operator()(const core::attempt_id& id) const noexcept {
        constexpr std::size_t mix = 0x9E3779B97F4A7C15U;
        return (std::hash<core::job_id>{}(id.job) * mix) ^ (id.task * mix) ^ id.attempt;
    }
};

/// All that placed and running tasks hold, counted on workers, teams and pools in step.
///
/// Owned by the scheduler; the control thread only. Addresses of holdings stay valid until release().
class allocation_table {
public:
    /// @param workers outlives the table.
    explicit allocation_table(worker_table& workers) : workers(workers) {}

    /// Counts a holding; its attempt must not be known.
    allocation& add(const allocation& alloc);

    /// Gives a placement its attempt number.
    /// @return the holding.
    allocation& bind(const core::attempt_id& unbound, const core::attempt_id& attempt);

    /// @return the holding of an attempt, or nullptr.
    [[nodiscard]] allocation* find(const core::attempt_id& attempt);
    [[nodiscard]] const allocation* find(const core::attempt_id& attempt) const;

    /// @return the holding of one task of a job, as placed or bound last; or nullptr.
    [[nodiscard]] allocation* find_by_task(const core::job_id& job, std::uint32_t task);
    [[nodiscard]] const allocation* of_task(const core::job_id& job, std::uint32_t task) const;

    /// Frees what an attempt holds.
    void release(const core::attempt_id& attempt);

    /// Lets the holdings of a worker that leaves count for team and pool only.
    void detach_worker(row_index row);

    /// Counts the holdings of a worker that became known after them.
    void attach_worker(const core::worker_id& worker, row_index row);

    [[nodiscard]] const std::unordered_map<core::attempt_id, allocation, attempt_hash>& all() const {
        return this->entries;
    }
    [[nodiscard]] std::unordered_map<core::attempt_id, allocation, attempt_hash>& all() {
        return this->entries;
    }

private:
    /// One task of a job.
    struct task_key {
        core::job_id job;
        std::uint32_t task = 0;
        friend bool operator==(const task_key&, const task_key&) = default;
    };
    struct task_hash {
        std::size_t operator()(const task_key& key) const noexcept {
            return attempt_hash{}({.job = key.job, .task = key.task});
        }
    };

    void add_to_worker(allocation& alloc);

    worker_table& workers;
    std::unordered_map<core::attempt_id, allocation, attempt_hash> entries;
    std::unordered_map<task_key, core::attempt_id, task_hash> newest_attempts; ///< The attempt counted last.
};

} // namespace rattanmount::scheduling
