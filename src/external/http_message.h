#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanmount::external {

/// The header that matches an answer to its call: the server repeats its value. Only http_connection checks
/// it; http_channel does not.
inline constexpr const char* correlation_header = "X-Correlation-Id";
/// The header with the id that the caller gave the request, "team/key", percent-encoded.
inline constexpr const char* request_id_header = "X-Request-Id";
/// The header with the time after which the server should abandon the request, in milliseconds.
inline constexpr const char* limit_header = "X-Limit-Ms";

struct http_header {
    std::string name;
    std::string value;
};

/// One HTTP request, before it is encoded.
struct http_message {
    std::string method;
    std::string target;      ///< Path and query.
    std::string correlation; ///< http_connection requires the answer to repeat it, unless empty.
    std::vector<http_header> headers;
    std::string body;
    std::string host = {};   ///< The Host header; if empty, the server's address.
    bool send_limit = false; ///< Adds the limit header with the time remaining when the request is sent.
};

/// The outcome of an exchange.
enum class exchange_outcome : std::uint8_t {
    answered,  ///< A complete answer to this call arrived, with any status.
    not_sent,  ///< No byte of the request was sent.
    timed_out, ///< At least one byte was sent, but no complete answer arrived in time.
    broken     ///< At least one byte was sent, but the answer is truncated or belongs to another call.
};

struct http_answer {
    exchange_outcome outcome = exchange_outcome::broken;
    std::uint16_t status = 0; ///< If answered.
    std::string body;         ///< The complete body, if answered.
    std::string etag;         ///< The ETag header, if the server sent one.
    std::string reason;       ///< Why the call was not answered.
    bool keep_alive = false;  ///< Whether the connection may carry another exchange.

    /// @return whether the call certainly had no effect: a 4xx status, or 503 with "effect":"none".
    [[nodiscard]] bool refused() const;
};

} // namespace rattanmount::external
