#pragma once

#include "core/ids.h"
#include "scheduling/allocation.h"
#include "scheduling/worker_table.h"

#include <unordered_map>

namespace rattanmount::scheduling {

/// Hashes attempt ids.
struct attempt_hash {
    std::size_t operator()(const core::attempt_id& id) const noexcept {
        constexpr std::size_t mix = 0x9E3779B97F4A7C15U;
        return (std::hash<core::job_id>{}(id.job) * mix) ^ (id.task * mix) ^ id.attempt;
    }
};

/// The allocations of all placed and running tasks. Keeps the sums per worker, team and pool up to date.
///
/// Owned by the scheduler; used on the control thread only. Addresses of allocations stay valid until
/// release().
class allocation_table {
public:
    /// @param workers must outlive the table.
    explicit allocation_table(worker_table& workers) : workers(workers) {}

    /// Adds an allocation. Its attempt must not be in the table.
    allocation& add(const allocation& alloc);

    /// Sets the attempt number of a placement.
    /// @param unbound the placement's key, with attempt number 0; must be in the table.
    /// @return the allocation.
    allocation& bind(const core::attempt_id& unbound, const core::attempt_id& attempt);

    /// @return the allocation of an attempt, or nullptr.
    [[nodiscard]] allocation* find(const core::attempt_id& attempt);
    [[nodiscard]] const allocation* find(const core::attempt_id& attempt) const;

    /// @return the allocation of a task that was added or bound last, or nullptr.
    [[nodiscard]] allocation* find_by_task(const core::job_id& job, std::uint32_t task);
    [[nodiscard]] const allocation* of_task(const core::job_id& job, std::uint32_t task) const;

    /// Removes an allocation and frees its resources. No effect if the attempt is unknown.
    void release(const core::attempt_id& attempt);

    /// Called when a worker leaves: its allocations count against team and pool only from now on.
    void detach_worker(row_index row);

    /// Called when a worker becomes known: adds the allocations that were made on it before.
    void attach_worker(const core::worker_id& worker, row_index row);

    [[nodiscard]] const std::unordered_map<core::attempt_id, allocation, attempt_hash>& all() const {
        return this->entries;
    }
    [[nodiscard]] std::unordered_map<core::attempt_id, allocation, attempt_hash>& all() {
        return this->entries;
    }

private:
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
    /// The attempt that was added or bound last.
    std::unordered_map<task_key, core::attempt_id, task_hash> newest_attempts;
};

} // namespace rattanmount::scheduling
