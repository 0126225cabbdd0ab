#pragma once

#include "core/request_tracker.h"
#include "core/time.h"
#include "front/front_counters.h"
#include "front/http_message.h"
#include "front/open_connection.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstddef>
#include <functional>

namespace rattanmount::front {

/// The settings of a request_handler; shared by all requests of one connection.
struct request_handler_options {
    std::function<http_reply(const http_request&)> handle; ///< Returns the response to a complete request.
    std::function<bool()> may_keep_alive; ///< Whether the connection may stay open after the response.
    std::size_t max_body_bytes = 0;
    core::milliseconds receive_timeout{0};
    front_counters& counters;
    core::request_tracker& requests;
    open_connection& connection;
};

/// Reads one complete request from a connection and sends its response.
///
/// An incomplete request is refused and does not reach the hook. Poco creates one handler per request and
/// runs it on the thread of the connection.
class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(const request_handler_options& options);
    ~request_handler() override;

    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

private:
    [[nodiscard]] http_reply answer(Poco::Net::HTTPServerRequest& request) const;
    void send(const http_reply& reply, Poco::Net::HTTPServerResponse& response) const;

    const request_handler_options& options;
};

} // namespace rattanmount::front
