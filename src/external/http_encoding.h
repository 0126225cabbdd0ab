#pragma once

#include "core/time.h"
#include "external/http_message.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <optional>
#include <string>

namespace rattanmount::external {

/// No answer may be larger.
inline constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;

/// @param message a request.
/// @param host the header Host where the message names none.
/// @param left the time that is left for the exchange, for messages that send it.
/// @return the bytes to send.
[[nodiscard]] std::string encode_request(const http_message& message, const std::string& host,
                                         core::milliseconds left);

/// @param head of an answer.
/// @return the length of its body; empty where it states none that can be taken.
[[nodiscard]] std::optional<std::size_t> body_length(const Poco::Net::HTTPResponse& head);

/// @param head of an answer.
/// @param body of it, whole.
/// @return the answer.
[[nodiscard]] http_answer make_answer(const Poco::Net::HTTPResponse& head, std::string body);

} // namespace rattanmount::external
