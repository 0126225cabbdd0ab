#pragma once

#include "core/job.h"
#include "core/resources.h"
#include "core/time.h"
#include "scheduling/reservation.h"
#include "scheduling/shard_state.h"

#include <cstddef>
#include <vector>

namespace rattanmount::scheduling {

/// Tells by the estimates when tasks that fit nowhere now will fit.
///
/// Made for one question; reads the shard's state only. Stragglers and services never end by it.
class forecast {
public:
    /// @param state the shard; outlives the forecast.
    /// @param now the time.
    forecast(const shard_state& state, core::steady_time now) : state(state), now(now) {}

    /// @param size what one task takes.
    /// @param tasks how many are to start together.
    /// @param urgent whether they may use the reserve.
    /// @return when and where they fit, as a reservation without a job. Where they fit at no known time, `at`
    /// is
    ///         empty.
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
    std::vector<core::resources> free_for_urgent; ///< By row: free to urgent tasks.
    std::vector<core::resources> free_for_normal; ///< By row: free to others, where the worker's room allows.
    std::vector<std::int64_t> fitting_by_row;     ///< By row: how many of the tasks fit.
    std::int64_t total_fitting = 0;
    core::resources task_size;
    std::int64_t task_count = 0;
};

} // namespace rattanmount::scheduling
