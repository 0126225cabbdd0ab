#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "scheduling/admission.h"
#include "scheduling/shard_state.h"

#include <string>
#include <vector>

namespace rattanmount::scheduling {

/// Explains to people why a job waits or why it runs on its workers.
///
/// Uses the same rules as scheduler::place(), so it reports the rule that blocks the job there. Created for
/// one call of scheduler::explain().
class explainer {
public:
    /// @param state the shard with refreshed policies; must outlive the explainer.
    explainer(const shard_state& state, core::steady_time now) : state(state), now(now), rules(state, now) {}

    /// @return one line each for the blocking rule, the position in the queue, the earliest start and each
    ///         placed task.
    [[nodiscard]] std::vector<std::string> lines(const core::job_id& id) const;

private:
    void add_waiting_lines(const tracked_job& job, std::vector<std::string>& lines) const;
    void add_running_lines(const tracked_job& job, std::vector<std::string>& lines) const;
    std::string blocking_rule(const tracked_job& job, const admission_result& result) const;
    std::string quota_text(const job_group& group, const core::resources& requested) const;
    std::string pool_share_text(const job_group& group, const core::resources& requested) const;
    std::string capacity_text(const job_group& group, const tracked_job& job,
                              const core::resources& size) const;
    std::string reservation_text() const;
    std::string queue_position(const tracked_job& job) const;
    std::string earliest_start(const tracked_job& job, const admission_result& result) const;
    std::string placement_text(const allocation& alloc) const;

    const shard_state& state;
    core::steady_time now;
    admission rules;
};

} // namespace rattanmount::scheduling
