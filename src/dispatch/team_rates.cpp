#include "dispatch/team_rates.h"

#include <algorithm>
#include <chrono>

namespace rattanmount::dispatch {

namespace {

/// What a full bucket holds is what comes in this time at the team's rate.
constexpr std::chrono::seconds bucket_depth{1};

} // namespace

bool team_rates::admit(const core::team_id& team, double jobs_per_second, core::system_time accepted_at) {
    const auto full = std::max(jobs_per_second * static_cast<double>(bucket_depth.count()), 1.0);
    const auto [place, added] = this->buckets.try_emplace(team, bucket{full, accepted_at});
    auto& [tokens, filled_at] = place->second;
    // The clocks of the hosts that accept jobs differ a little, so times may go back.
    if (accepted_at > filled_at) {
        const std::chrono::duration<double> passed = accepted_at - filled_at;
        tokens = std::min(full, tokens + passed.count() * jobs_per_second);
        filled_at = accepted_at;
    }
    if (tokens < 1) {
        return false;
    }
    tokens--;
    return true;
}

} // namespace rattanmount::dispatch
