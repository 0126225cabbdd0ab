#pragma once

#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/reservation.h"
#include "scheduling/shard_state.h"

#include <cstddef>
#include <vector>

namespace rattanmount::scheduling {

/// Forecasts from the estimated run times when tasks that fit on no worker now will fit.
///
/// Created for one query; only reads the shard's state. Stragglers and services are assumed never to end.
class forecast {
public:
    /// @param state the shard; must outlive the forecast.
    /// @param now the current time.
    forecast(const shard_state& state, core::steady_time now) : state(state), now(now) {}

    /// @param size the size of one task.
    /// @param tasks how many tasks start together.
    /// @param urgent whether they may use the urgent reserve.
    /// @return the earliest time and the workers, as a reservation without a job. Its `start_at` is empty if
    ///         the estimates give no time at which the tasks fit.
    [[nodiscard]] reservation earliest_fit(const core::resources& size, std::size_t tasks, bool urgent);

private:
    struct task_end {
        core::steady_time at;
        const allocation* alloc = nullptr;
    };

    std::vector<task_end> estimated_ends() const;
    core::resources free(row_index row, bool urgent) const;
    void update_fitting(row_index row, bool urgent);
    void choose_rows(reservation& plan, bool urgent) const;

    const shard_state& state;
    core::steady_time now;
    std::vector<core::resources> free_for_urgent; ///< Per row: free for urgent tasks.
    /// Per row: free after subtracting the urgent reserve; may exceed what the worker has free.
    std::vector<core::resources> free_for_normal;
    std::vector<std::int64_t> fitting_by_row; ///< Per row: how many of the tasks fit.
    std::int64_t total_fitting = 0;
    core::resources task_size;
    std::int64_t task_count = 0;
};

} // namespace rattanmount::scheduling
