#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>

namespace rattanmount::dispatch {

/// Finds the jobs that come beyond the rate of their team, by a token bucket per team that is one second
/// deep.
///
/// It counts by the times at which jobs were accepted, so that a new leader which passes the jobs of the log
/// in their order finds the same. Used by the control thread only.
class team_rates {
public:
    /// Counts a job.
    /// @param team the team whose job it is.
    /// @param jobs_per_second the rate of the team, more than 0.
    /// @param accepted_at when the job was accepted.
    /// @return whether it is within the rate.
    bool admit(const core::team_id& team, double jobs_per_second, core::system_time accepted_at);

    /// Forgets all jobs.
    void reset() { this->buckets.clear(); }

private:
    struct bucket {
        double tokens = 0;
        core::system_time filled_at;
    };

    std::map<core::team_id, bucket> buckets;
};

} // namespace rattanmount::dispatch
