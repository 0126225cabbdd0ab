#pragma once

#include "core/endpoint.h"
#include "external/http_caller.h"
#include "external/log_service.h"

namespace rattanmount::external {

struct http_log_client_options {
    core::endpoint address; ///< The log service.
    connection_pool_options connections{.max_connections = 16, .max_idle = 8};
};

/// Calls the platform's log service over HTTP.
///
/// Pass its hooks to the code that appends and reads; they refer to the client, which must outlive them.
/// Owned by the app; any traffic thread may call the hooks, which block up to their timeout.
class http_log_client {
public:
    /// @param options the address of the service and the connection limits.
    explicit http_log_client(http_log_client_options options);

    /// @return the calls of the log service.
    [[nodiscard]] log_service hooks();

    /// @return the traffic so far.
    [[nodiscard]] const traffic_counters& counters() const { return this->caller.counters(); }

private:
    [[nodiscard]] append_reply append(const core::stream_id& stream, const std::string& bytes,
                                      core::milliseconds timeout);
    [[nodiscard]] read_reply read(const core::stream_id& stream, core::log_offset from, std::size_t max_bytes,
                                  core::milliseconds timeout);
    [[nodiscard]] std::string target_of(const core::stream_id& stream) const;

    http_log_client_options options;
    http_caller caller;
};

} // namespace rattanmount::external
