#pragma once

#include <string>
#include <vector>

namespace rattanmount::front {

/// An HTTP header.
struct http_field {
    std::string name;
    std::string value;
};

/// A complete HTTP request, independent of the HTTP library.
struct http_request {
    std::string method; ///< In upper case.
    std::string target; ///< Path and query, as sent.
    std::string body;
    std::string host = {};                ///< The value of the Host header, as sent.
    std::vector<http_field> headers = {}; ///< The headers that the server is configured to keep.

    /// @param name the name of a header; upper and lower case are equivalent.
    /// @return the header's value, or "" if it was not sent or not kept.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// The HTTP status codes in use.
enum class http_status : int {
    ok = 200,
    accepted = 202,
    bad_request = 400,
    unauthorized = 401,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    conflict = 409,
    gone = 410,
    too_large = 413,
    too_many_requests = 429,
    internal_error = 500,
    service_unavailable = 503,
    gateway_timeout = 504
};

/// An HTTP response.
struct http_reply {
    http_status status = http_status::ok;
    std::string content_type = "application/json";
    std::string body;
    std::string allow = {}; ///< The Allow header, for method_not_allowed; only request_handler sends it.
    std::vector<http_field> headers = {};
};

} // namespace rattanmount::front
