#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "tenancy/key_ring.h"
#include "tenancy/team_policy.h"
#include "workflow/job_request.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanmount::workflow {

/// Response time of the advisory service and validity of its answers.
struct advice_policy {
    core::milliseconds base_time{0};              ///< Fixed time per call.
    std::chrono::microseconds time_per_worker{0}; ///< Additional time per worker in the call.
    core::milliseconds ticket_lifetime{0};        ///< Recorded; not used by the dispatcher.

    /// @param workers the number of workers that a call names.
    /// @return the response time that the service states for it.
    [[nodiscard]] core::milliseconds response_time(std::size_t workers) const {
        return this->base_time + std::chrono::ceil<core::milliseconds>(this->time_per_worker *
                                                                       static_cast<std::int64_t>(workers));
    }

    friend bool operator==(const advice_policy&, const advice_policy&) = default;
};

/// Settings that apply to the jobs of a queue.
struct queue_policy {
    queue_id queue;
    core::service_id service;       ///< The service whose workers run the tasks.
    std::uint32_t priority = 0;     ///< 0 is the highest.
    std::uint32_t max_attempts = 1; ///< Failures of one task before its job fails.
    /// Factor on a job's critical path in its latency objective.
    double stretch = 1.0;
    /// Added to the stretched critical path.
    core::milliseconds latency_goal{0};
    std::optional<advice_policy> advice; ///< Empty: every worker of the service may run the tasks.

    friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

/// Maps HTTP requests to a queue.
struct queue_route {
    std::string host;        ///< Compared case-insensitively.
    std::string path_prefix; ///< The path up to the job's name.
    core::milliseconds timeout{0};
    /// Callers need no key of a team; their jobs belong to no team. Matters only if the configuration has
    /// teams.
    bool is_public = false;
    queue_policy policy;
};

/// Properties of the workers of a service.
struct worker_service {
    core::service_id service;
    /// Its workers refuse runs that exceed their capacity. Not used by the dispatcher.
    bool enforces_capacity = false;
    /// Its workers are switched off until they are moved to another service. Not used by the dispatcher.
    bool standby = false;
};

/// A complete version of the operator's configuration.
struct configuration {
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<worker_service> services;
    /// Empty: callers need no keys, and no team has a cap or a share.
    std::vector<tenancy::team_policy> teams;
    /// The keys of the teams; null until a host applies this version. Versions with the same teams share it.
    std::shared_ptr<const tenancy::key_ring> keys;
    std::size_t max_body_bytes = 262144;

    /// @param queue a queue.
    /// @return its policy, or null if no route leads to it.
    [[nodiscard]] const queue_policy* policy_of(const queue_id& queue) const;

    /// @param team a team.
    /// @return its policy, or null if the configuration does not have it.
    [[nodiscard]] const tenancy::team_policy* team_of(const core::team_id& team) const;

    /// Finds the route of a request; the longest matching path prefix wins.
    /// @param host the host name in the request, without a port.
    /// @param path the path of the request.
    /// @return the route, or null if none matches.
    [[nodiscard]] const queue_route* route_of(const std::string& host, const std::string& path) const;
};

} // namespace rattanmount::workflow
