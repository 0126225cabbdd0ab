#include "front/request_handler.h"

#include "front/body_reader.h"
#include "front/routes.h"

#include <algorithm>
#include <string>

namespace rattanmount::front {

namespace {

constexpr auto request_id_header = "X-Request-Id";
constexpr std::size_t max_request_id_bytes = 128;
constexpr int first_server_error = 500;

bool is_valid_request_id(const std::string& id) {
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
    if (is_valid_request_id(id)) {
        response.set(request_id_header, id);
    }
    this->send(this->answer(request), response);
}

http_reply request_handler::answer(Poco::Net::HTTPServerRequest& request) const {
    const auto deadline = std::chrono::steady_clock::now() + this->options.receive_timeout;
    http_request received{.method = request.getMethod(), .target = request.getURI(), .body = ""};
    switch (read_body(request, this->options.max_body_bytes, deadline, received.body)) {
    case body_read_result::complete:
        this->options.counters.received_bytes += received.body.size();
        return this->options.handle(received);
    case body_read_result::too_large:
        return refused_reply(http_status::too_large, "the request body is larger than " +
                                                         std::to_string(this->options.max_body_bytes) +
                                                         " bytes");
    case body_read_result::timed_out:
        return refused_reply(http_status::request_timeout, "timed out while receiving the request body");
    case body_read_result::truncated:
        break;
    }
    return refused_reply(http_status::bad_request, "the request body is shorter than its Content-Length");
}

void request_handler::send(const http_reply& reply, Poco::Net::HTTPServerResponse& response) const {
    const auto status = static_cast<int>(reply.status);
    const bool has_unread_body =
        reply.status == http_status::too_large || reply.status == http_status::request_timeout;
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(reply.content_type);
    if (!reply.allow.empty()) {
        response.set("Allow", reply.allow);
    }
    response.setKeepAlive(response.getKeepAlive() && !has_unread_body && this->options.may_keep_alive());
    response.sendBuffer(reply.body.data(), reply.body.size());
    this->options.counters.sent_bytes += reply.body.size();
    auto& counter = status >= first_server_error ? this->options.counters.failed_requests
                                                 : this->options.counters.requests;
    counter++;
}

} // namespace rattanmount::front
