#pragma once

#include "core/ids.h"
#include "core/resources.h"

#include <vector>

namespace rattanmount::tenancy {

/// The secret by which a caller shows that it calls for a team. Never logged; see fingerprint_of().
using api_key = core::text_id<struct api_key_tag>;

/// What the configuration grants to one team.
///
/// A value type.
struct team_policy {
    core::team_id team;
    std::vector<api_key> keys; ///< Any of them is valid; without one the team cannot call.
    /// Its share of a cell that has no room for all, relative to the weights of the other teams that wait;
    /// 0: it is served from what the others leave.
    double weight = 0;
    /// Jobs beyond this rate are served only from what other teams leave; 0: no limit.
    double jobs_per_second = 0;
    /// What its tasks may reserve on all workers together; an amount of 0 means no limit.
    core::resources cap;

    friend bool operator==(const team_policy&, const team_policy&) = default;
};

} // namespace rattanmount::tenancy
