#pragma once

#include "core/calls.h"
#include "core/time.h"
#include "front/http_message.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattanmount::front {

/// What routes are made of.
struct routes_options {
    core::cell_calls calls;
    core::milliseconds default_limit{5000};  ///< For a request that names no limit.
    core::milliseconds max_limit{60000}; ///< A request that names a longer one is refused.
};

/// Finds the call for each path and method, decodes requests and encodes answers; docs/API.md lists them.
///
/// Owned by the front end; any number of traffic threads may call handle() at once. Knows nothing of sockets.
class routes {
public:
    explicit routes(routes_options options);
    ~routes() = default;

    routes(const routes&) = delete;
    routes& operator=(const routes&) = delete;

    /// Carries out one request.
    /// @param request the whole request.
    /// @return its answer; every failure is an answer too.
    [[nodiscard]] http_reply handle(const http_request& request) const;

    /// Answers one request while the host is overloaded: with service_unavailable, but for the paths that
    /// balancers and collectors ask, which take no time.
    /// @param request the whole request.
    /// @return its answer.
    [[nodiscard]] http_reply handle_overloaded(const http_request& request) const;

private:
    /// A request whose target has been taken apart.
    struct parsed_request {
        std::vector<std::string> segments; ///< Of the path, decoded.
        core::milliseconds limit{0};
        const std::string& body;
    };

    struct route {
        std::string method;
        std::vector<std::string> pattern; ///< "*" takes any segment.
        std::function<http_reply(const parsed_request&)> action;
    };

    void add(const std::string& method, const std::string& pattern,
             std::function<http_reply(const parsed_request&)> action);
    void add_job_routes();
    void add_operator_routes();

    [[nodiscard]] http_reply find_and_run(const http_request& request) const;
    [[nodiscard]] core::milliseconds limit_from(const std::string& target) const;

    routes_options options;
    std::vector<route> table;
};

/// @return the answer to a request that was refused before it was read or run.
[[nodiscard]] http_reply refused_reply(http_status status, const std::string& reason);

} // namespace rattanmount::front
