#pragma once

#include "core/time.h"
#include "scheduling/admission.h"
#include "scheduling/preemption.h"
#include "scheduling/shard_state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace rattanmount::scheduling {

/// Chooses tasks of preemptible pools that make room for urgent jobs which fit nowhere.
///
/// The mildest comes first: a task that uses more than it is counted with is throttled; then tasks are
/// checkpointed and stopped, those that lose least first; a task that has not ended by then is stopped. Tasks
/// that are not idempotent are only ever throttled. Made for one call of scheduler::preempt().
class preemption_planner {
public:
    preemption_planner(shard_state& state, core::steady_time now);

    [[nodiscard]] std::vector<preemption> run();

private:
    /// One urgent task that fits nowhere.
    struct unplaced_task {
        core::job_id job;
        core::resources size;
    };
    /// One thing that may be done to a task.
    struct step {
        allocation* alloc = nullptr;
        preemption_kind kind = preemption_kind::throttle;
        core::resources freed;
        double cost = 0.0; ///< Seconds of work on the share of a worker that it takes.
    };
    struct plan {
        row_index row = no_row;
        double cost = 0.0;
        std::vector<step> steps;
    };

    void escalate(std::vector<preemption>& preemptions);
    std::vector<unplaced_task> urgent_tasks();
    void add_urgent_tasks(const job_group& group, std::vector<unplaced_task>& found) const;
    bool claim_free_capacity(const unplaced_task& task);
    std::optional<plan> cheapest_plan(const unplaced_task& task) const;
    std::optional<plan> plan_for(row_index row, const unplaced_task& task) const;
    void apply(const unplaced_task& task, const plan& selected, std::vector<preemption>& preemptions);
    bool is_preemptible(const allocation& alloc) const;
    std::vector<step> possible_steps(const worker_row& worker) const;
    static void drop_unneeded(plan& result, core::resources free, const core::resources& size);
    double lost_work(const allocation& alloc) const;
    bool is_still_needed(const allocation& alloc) const;

    shard_state& state;
    core::steady_time now;
    admission rules;
    std::vector<core::resources> free_by_row; ///< By row: free, and soon free by what was asked for.
    core::resources searched_size;            ///< The size that was searched for last,
    std::size_t searched_rows = 0;            ///< and the rows in which it does not fit.
};

} // namespace rattanmount::scheduling
