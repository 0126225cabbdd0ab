#pragma once

#include "core/time.h"
#include "scheduling/admission.h"
#include "scheduling/preemption.h"
#include "scheduling/shard_state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace rattanmount::scheduling {

/// Plans the preemption of tasks in preemptible pools for urgent jobs that fit on no worker.
///
/// The least disruptive step comes first: tasks that use more than their effective size are throttled. Then
/// tasks are asked to checkpoint and stop, those that lose the least work first. A task that has not ended
/// within the checkpoint timeout is stopped. Tasks that are not idempotent are only throttled. Created for
/// one call of scheduler::preempt().
class preemption_planner {
public:
    preemption_planner(shard_state& state, core::steady_time now);

    [[nodiscard]] std::vector<preemption> run();

private:
    /// An urgent task that fits on no worker.
    struct unplaced_task {
        core::job_id job;
        core::resources size;
    };
    /// One possible preemption of a task.
    struct step {
        allocation* alloc = nullptr;
        preemption_kind kind = preemption_kind::throttle;
        core::resources freed;
        double cost = 0.0; ///< Lost work: seconds run times the task's dominant share of a worker.
    };
    /// The preemptions on one worker that free enough for one task.
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
    std::vector<core::resources> free_by_row; ///< Per row: free now or freed by requested preemptions.
    core::resources searched_size;            ///< The size of the last search.
    /// The number of first rows on which `searched_size` does not fit.
    std::size_t searched_rows = 0;
};

} // namespace rattanmount::scheduling
