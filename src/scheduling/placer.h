#pragma once

#include "core/time.h"
#include "scheduling/admission.h"
#include "scheduling/job_group.h"
#include "scheduling/placement.h"
#include "scheduling/shard_state.h"
#include "scheduling/team_queue.h"

#include <cstddef>
#include <cstdint>
#include <queue>
#include <vector>

namespace rattanmount::scheduling {

/// One placement round: goes through the waiting jobs in scheduling order and places those that may start.
///
/// Pools are ordered by urgency, then by effective priority (the priority plus 1 for each ageing interval
/// that the oldest job has waited), then by the smallest dominant share relative to the weight. Within a
/// pool, teams are ordered by the smallest weighted dominant share, reduced for each ageing interval since
/// the team was last served, then by the longest wait. Created for one call of scheduler::place().
class placer {
public:
    placer(shard_state& state, core::steady_time now);

    /// @param max_placements how many placements to make; the last one may be a gang that exceeds this
    ///        number.
    [[nodiscard]] std::vector<placement> run(std::size_t max_placements);

private:
    /// A team queue with its sort keys at the time it was queued. Since then it can only have moved back.
    struct candidate {
        double share = 0.0;
        core::steady_time waiting_since;
        std::uint64_t serial = 0;
        team_queue* queue = nullptr;
    };
    struct served_later {
        bool operator()(const candidate& left, const candidate& right) const;
    };
    struct waits_shorter {
        bool operator()(const candidate& left, const candidate& right) const {
            return left.waiting_since > right.waiting_since;
        }
    };
    /// The team queues of one pool.
    struct pool_queues {
        pool_account* pool = nullptr;
        std::priority_queue<candidate, std::vector<candidate>, served_later> teams;
        std::priority_queue<candidate, std::vector<candidate>, waits_shorter> oldest;
    };

    void collect();
    candidate make_candidate(team_queue& queue) const;
    pool_queues* next_pool();
    void refresh_oldest(pool_queues& queues) const;
    bool is_blocked(team_queue& queue) const;
    const job_group* first_eligible(team_queue& queue) const;
    bool is_eligible(const job_group& group) const;
    bool may_reserve(const job_group& group, const core::resources& size) const;
    double effective_priority(const pool_queues& queues) const;
    double weighted_share(const pool_queues& queues) const;
    double ageing_steps(core::steady_time since) const;

    bool try_queue(team_queue& queue, std::vector<placement>& placed);
    bool try_group(job_group& group, std::vector<placement>& placed);
    tracked_job* next_job(job_group& group, admission_result& result);
    void start(job_group& group, tracked_job& job, const admission_result& result,
               std::vector<placement>& placed);
    void reserve(const job_group& group, const core::resources& size);
    void allocate(job_group& group, tracked_job& job, std::uint32_t task, row_index row,
                  const admission_result& result);
    void record_blocked(job_group& group, const admission_result& result);

    shard_state& state;
    core::steady_time now;
    admission rules;
    std::vector<pool_queues> pools;
    bool probe_wanted = false;
    bool backfill_only = false; ///< Set once a reservation was made: the jobs that follow may only backfill.
};

} // namespace rattanmount::scheduling
