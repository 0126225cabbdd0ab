#pragma once

#include "external/http_caller.h"
#include "external/worker_service.h"

namespace rattanmount::external {

struct http_worker_client_options {
    /// The limits per address and port; workers at the same address and port share its connections.
    connection_pool_options connections{.max_connections = 8, .max_idle = 2};
};

/// Calls workers over HTTP.
///
/// Pass its hooks to the code that controls workers; they refer to the client, which must outlive them.
/// Owned by the app; any traffic thread may call the hooks, which block up to their timeout.
class http_worker_client {
public:
    /// @param options the connection limits.
    explicit http_worker_client(http_worker_client_options options);

    /// @return the calls that a worker serves.
    [[nodiscard]] worker_service hooks();

    /// @return the traffic so far.
    [[nodiscard]] const traffic_counters& counters() const { return this->caller.counters(); }

private:
    [[nodiscard]] lease_reply lease(const core::endpoint& worker, const lease_request& request,
                                    core::milliseconds timeout);
    [[nodiscard]] start_reply start(const core::endpoint& worker, core::lease_id lease,
                                    const core::attempt_id& attempt, const core::resources& each,
                                    const std::string& payload, core::milliseconds timeout);
    [[nodiscard]] start_reply act(const core::endpoint& worker, core::lease_id lease,
                                  const core::attempt_id& attempt, attempt_action action,
                                  core::milliseconds timeout);
    [[nodiscard]] http_answer post(const core::endpoint& worker, const char* call, std::string body,
                                   core::milliseconds timeout);

    http_caller caller;
};

} // namespace rattanmount::external
