#pragma once

#include "core/time.h"
#include "scheduling/admission.h"
#include "scheduling/job_group.h"
#include "scheduling/placement.h"
#include "scheduling/shard_state.h"
#include "scheduling/team_lane.h"

#include <cstddef>
#include <cstdint>
#include <queue>
#include <vector>

namespace rattanmount::scheduling {

/// One round of placements: takes the groups of waiting jobs in their order and places what may start.
///
/// The order: urgent pools first, then the pool of the highest standing (its priority, and one step more for
/// each ageing time that its oldest job has waited), then the pool that holds least for its weight; in a pool
/// the team that holds least for its weight, less for each ageing time since it was last served; then who
/// waits longest. Made for one call of scheduler::place().
class placer {
public:
    placer(shard_state& state, core::steady_time now);

    /// @param most the number of placements wanted; a gang may go beyond it.
    [[nodiscard]] std::vector<placement> run(std::size_t most);

private:
    /// A lane with what orders it, as of when it was queued; later it can only come further behind.
    struct candidate {
        double share = 0.0;
        core::steady_time since;
        std::uint64_t serial = 0;
        team_lane* lane = nullptr;
    };
    struct served_later {
        bool operator()(const candidate& left, const candidate& right) const;
    };
    struct waits_shorter {
        bool operator()(const candidate& left, const candidate& right) const {
            return left.since > right.since;
        }
    };
    /// The candidates of one pool.
    struct pool_lanes {
        pool_account* pool = nullptr;
        std::priority_queue<candidate, std::vector<candidate>, served_later> teams;
        std::priority_queue<candidate, std::vector<candidate>, waits_shorter> oldest;
    };

    void collect();
    candidate make_candidate(team_lane& lane) const;
    pool_lanes* next_pool();
    void drop_stale(pool_lanes& lanes) const;
    bool blocked(team_lane& lane) const;
    const job_group* first_eligible(team_lane& lane) const;
    bool eligible(const job_group& group) const;
    bool may_keep_room(const job_group& group, const core::resources& size) const;
    double standing(const pool_lanes& lanes) const;
    double share_of(const pool_lanes& lanes) const;
    double steps(core::steady_time since) const;

    bool try_lane(team_lane& lane, std::vector<placement>& placed);
    bool try_group(job_group& group, std::vector<placement>& placed);
    waiting_job* next_job(job_group& group, admission_result& result);
    void start(job_group& group, waiting_job& job, const admission_result& result,
               std::vector<placement>& placed);
    void keep_room(const job_group& group, const core::resources& size);
    void hold(job_group& group, waiting_job& job, std::uint32_t task, row_index row,
              const admission_result& result);
    void note_failure(job_group& group, const admission_result& result);

    shard_state& state;
    core::steady_time now;
    admission rules;
    std::vector<pool_lanes> pools;
    bool probe_wanted = false;
    bool room_is_kept = false; ///< From here on in the order, work may only backfill.
};

} // namespace rattanmount::scheduling
