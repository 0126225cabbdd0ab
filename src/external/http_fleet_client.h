#pragma once

#include "core/endpoint.h"
#include "external/fleet_service.h"
#include "external/http_caller.h"

#include <mutex>
#include <string>

namespace rattanmount::external {

struct http_fleet_client_options {
    core::endpoint address; ///< The fleet list service.
    connection_pool_options connections{.max_connections = 2, .max_idle = 1};
};

/// Fetches the platform's list of hosts over HTTP.
///
/// Requests are conditional: the server does not resend a list that has not changed since the last call.
/// Pass its hook to the code that watches the fleet; the hook refers to the client, which must outlive it.
/// Owned by the app; any traffic thread may call the hook, which blocks up to its timeout.
class http_fleet_client {
public:
    /// @param options the address of the service and the connection limits.
    explicit http_fleet_client(http_fleet_client_options options);

    /// @return the call of the fleet list service.
    [[nodiscard]] fleet_service hooks();

    /// @return the traffic so far.
    [[nodiscard]] const traffic_counters& counters() const { return this->caller.counters(); }

private:
    [[nodiscard]] fleet_list list(core::milliseconds timeout);
    [[nodiscard]] http_answer request_list(const std::string& known_etag, core::milliseconds timeout);
    [[nodiscard]] fleet_list handle_answer(const http_answer& answer);

    http_fleet_client_options options;
    std::mutex mutex;
    fleet_list last_list;  ///< The last complete list, returned again while its ETag is current.
    std::string last_etag; ///< The ETag of last_list; empty if there is none.
    http_caller caller;
};

} // namespace rattanmount::external
