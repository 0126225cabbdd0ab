#pragma once

#include "core/calls.h"
#include "core/time.h"
#include "front/http_message.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattanmount::front {

/// The settings of the routes.
struct routes_options {
    core::cell_calls calls;
    core::milliseconds default_limit{5000}; ///< The time limit of a request that states none.
    core::milliseconds max_limit{60000};    ///< A request that states a longer time limit is refused.
};

/// Maps each path and method to a typed call, decodes requests and encodes responses; docs/API.md lists them.
///
/// Independent of sockets. Owned by the front end; traffic threads may call handle() concurrently.
class routes {
public:
    explicit routes(routes_options options);
    ~routes() = default;

    routes(const routes&) = delete;
    routes& operator=(const routes&) = delete;

    /// Executes a complete request.
    /// @return the response; a failure is a response with an error status and never an exception.
    [[nodiscard]] http_reply handle(const http_request& request) const;

    /// Answers a complete request while the host is overloaded. The response is service_unavailable, except
    /// for the paths that load balancers and metrics collectors query, which are cheap to answer.
    [[nodiscard]] http_reply handle_overloaded(const http_request& request) const;

private:
    /// A request with its target split into path and parameters.
    struct parsed_request {
        std::vector<std::string> segments; ///< Of the path, decoded.
        core::milliseconds limit{0};
        const std::string& body;
    };

    struct route {
        std::string method;
        std::vector<std::string> pattern; ///< "*" matches any segment.
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

/// @return the response to a request that was refused before it was executed.
[[nodiscard]] http_reply refused_reply(http_status status, const std::string& reason);

} // namespace rattanmount::front
