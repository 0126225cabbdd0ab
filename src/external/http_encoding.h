#pragma once

#include "core/time.h"
#include "external/http_message.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <optional>
#include <string>

namespace rattanmount::external {

/// The limit on the size of the body of an answer.
inline constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;

/// Encodes a request.
/// @param message the request.
/// @param host the value of the Host header if the message has none.
/// @param left the remaining time for the exchange, for messages that send it.
/// @return the bytes to send.
[[nodiscard]] std::string encode_request(const http_message& message, const std::string& host,
                                         core::milliseconds left);

/// Returns the length of the body of an answer.
/// @param head the head of the answer.
/// @return empty if the head states no length or a length above max_answer_bytes.
[[nodiscard]] std::optional<std::size_t> body_length(const Poco::Net::HTTPResponse& head);

/// Creates an answer with outcome `answered`.
/// @param head the head of the answer.
/// @param body its complete body.
[[nodiscard]] http_answer make_answer(const Poco::Net::HTTPResponse& head, std::string body);

} // namespace rattanmount::external
