#include "front/request_handler.h"

#include "front/routes.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <istream>
#include <string>

namespace rattanmount::front {

namespace {

constexpr auto request_id_header = "X-Request-Id";
constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t read_chunk_bytes = 16384;
/// How much of a body that is too large is read, so that its sender gets to see the answer.
constexpr std::uint64_t max_drained_bytes = 16'777'216;
constexpr int first_server_error = 500;

enum class body_verdict : std::uint8_t { whole, too_large, too_slow, cut_short };

/// Reads the body of a request.
/// @param body takes what was read; empty unless the verdict is whole.
body_verdict read_body(Poco::Net::HTTPServerRequest& request, std::size_t max_bytes, core::steady_time until,
                       std::string& body) {
    std::array<char, read_chunk_bytes> chunk{};
    std::uint64_t received = 0;
    auto& stream = request.stream();
    while (stream.good()) {
        stream.read(chunk.data(), chunk.size());
        const auto size = static_cast<std::size_t>(stream.gcount());
        received += size;
        if (received <= max_bytes) {
            body.append(chunk.data(), size);
        }
        if (received > max_drained_bytes) {
            break;
        }
        if (std::chrono::steady_clock::now() > until) {
            return body_verdict::too_slow;
        }
    }
    if (received > max_bytes) {
        return body_verdict::too_large;
    }
    const bool has_length = request.hasContentLength();
    if (has_length && received != static_cast<std::uint64_t>(request.getContentLength64())) {
        return body_verdict::cut_short;
    }
    return body_verdict::whole;
}

bool usable_request_id(const std::string& id) {
    const auto printable = [](char c) { return c > ' ' && c <= '~'; };
    return !id.empty() && id.size() <= max_request_id_bytes && std::all_of(id.begin(), id.end(), printable);
}

} // namespace

request_handler::request_handler(const request_handler_options& options) : options(options) {
    this->options.requests.begin();
    this->options.connection.begin_request();
}

request_handler::~request_handler() {
    this->options.connection.end_request();
    this->options.requests.end();
}

void request_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
    const auto id = request.get(request_id_header, "");
    if (usable_request_id(id)) {
        response.set(request_id_header, id);
    }
    this->send(this->answer(request), response);
}

http_reply request_handler::answer(Poco::Net::HTTPServerRequest& request) const {
    const auto until = std::chrono::steady_clock::now() + this->options.receive_limit;
    http_request whole{.method = request.getMethod(), .target = request.getURI(), .body = ""};
    switch (read_body(request, this->options.max_body_bytes, until, whole.body)) {
    case body_verdict::whole:
        this->options.counters.received_bytes += whole.body.size();
        return this->options.handle(whole);
    case body_verdict::too_large:
        return refused_reply(http_status::too_large, "the body is larger than " +
                                                         std::to_string(this->options.max_body_bytes) +
                                                         " bytes");
    case body_verdict::too_slow:
        return refused_reply(http_status::request_timeout, "the body took too long to arrive");
    case body_verdict::cut_short:
        break;
    }
    return refused_reply(http_status::bad_request, "the body is shorter than its Content-Length");
}

void request_handler::send(const http_reply& reply, Poco::Net::HTTPServerResponse& response) const {
    const auto status = static_cast<int>(reply.status);
    const bool unread_rest =
        reply.status == http_status::too_large || reply.status == http_status::request_timeout;
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(reply.content_type);
    if (!reply.allow.empty()) {
        response.set("Allow", reply.allow);
    }
    response.setKeepAlive(response.getKeepAlive() && !unread_rest && this->options.may_keep_alive());
    response.sendBuffer(reply.body.data(), reply.body.size());
    this->options.counters.sent_bytes += reply.body.size();
    auto& counter = status >= first_server_error ? this->options.counters.failed_requests
                                                 : this->options.counters.requests;
    counter++;
}

} // namespace rattanmount::front
