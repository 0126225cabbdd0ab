#include "external/http_encoding.h"

#include <Poco/Net/HTTPRequest.h>

#include <sstream>
#include <utility>

namespace rattanmount::external {

std::string encode_request(const http_message& message, const std::string& host, core::milliseconds left) {
    Poco::Net::HTTPRequest head{message.method, message.target, Poco::Net::HTTPMessage::HTTP_1_1};
    head.set(Poco::Net::HTTPRequest::HOST, message.host.empty() ? host : message.host);
    if (!message.correlation.empty()) {
        head.set(correlation_header, message.correlation);
    }
    for (const auto& header : message.headers) {
        head.set(header.name, header.value);
    }
    if (message.send_limit) {
        head.set(limit_header, std::to_string(left.count()));
    }
    if (message.method != Poco::Net::HTTPRequest::HTTP_GET) {
        head.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
    }
    std::ostringstream bytes;
    head.write(bytes);
    bytes << message.body;
    return bytes.str();
}

std::optional<std::size_t> body_length(const Poco::Net::HTTPResponse& head) {
    const bool bodiless = head.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    const auto length = bodiless ? 0 : head.getContentLength64();
    if (length < 0 || static_cast<std::uint64_t>(length) > max_answer_bytes) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(length);
}

http_answer make_answer(const Poco::Net::HTTPResponse& head, std::string body) {
    return {.outcome = exchange_outcome::answered,
            .status = static_cast<std::uint16_t>(head.getStatus()),
            .body = std::move(body),
            .etag = head.get("ETag", ""),
            .reason = "",
            .keep_alive = head.getKeepAlive()};
}

} // namespace rattanmount::external
