#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstddef>
#include <string>

namespace rattanmount::front {

/// One request to an entry host.
struct outgoing_request {
    std::string method;
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
};

/// The timeouts and the size limit of one request.
struct call_limits {
    core::milliseconds connect{0};    ///< For connecting.
    core::milliseconds total{0};      ///< For connecting, sending and receiving together.
    std::size_t max_answer_bytes = 0; ///< A larger response body is an error.
};

/// A complete response.
struct incoming_answer {
    int status = 0;
    std::string body;
};

/// Sends one request on a new connection and reads the complete response.
/// @param host the address of the server; its path is prepended to the request's target.
/// @param request the request to send.
/// @param limits the timeouts and the largest response body.
/// @return the response, with any status code.
/// @throws core::unavailable if nothing was sent.
/// @throws core::outcome_unknown if the request may have been sent and no complete response arrived.
[[nodiscard]] incoming_answer call_http(const core::endpoint& host, const outgoing_request& request,
                                        const call_limits& limits);

} // namespace rattanmount::front
