#pragma once

#include <string>

namespace rattanmount::front {

/// A request of HTTP, whole, as the routes see it.
struct http_request {
    std::string method; ///< In capitals.
    std::string target; ///< Path and query as sent.
    std::string body;
};

/// Status codes that the routes answer with.
enum class http_status : int {
    ok = 200,
    accepted = 202,
    bad_request = 400,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    conflict = 409,
    too_large = 413,
    internal_error = 500,
    service_unavailable = 503,
    gateway_timeout = 504
};

/// An answer of HTTP.
struct http_reply {
    http_status status = http_status::ok;
    std::string content_type = "application/json";
    std::string body;
    std::string allow; ///< The methods that the path takes, for method_not_allowed.
};

} // namespace rattanmount::front
