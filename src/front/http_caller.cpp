#include "front/http_caller.h"

#include "core/errors.h"
#include "front/deadline_socket_impl.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/UUIDGenerator.h>

#include <array>
#include <istream>
#include <ostream>

namespace rattanmount::front {

namespace {

constexpr auto request_id_header = "X-Request-Id";
constexpr std::size_t read_chunk_bytes = 16384;

void send_request(Poco::Net::HTTPClientSession& session, const core::endpoint& host,
                  const outgoing_request& request, const std::string& id) {
    Poco::Net::HTTPRequest message{request.method, host.path + request.target,
                                   Poco::Net::HTTPMessage::HTTP_1_1};
    message.setHost(host.address, host.port);
    message.setContentType("application/json");
    message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    message.setKeepAlive(false);
    message.set(request_id_header, id);
    session.sendRequest(message) << request.body << std::flush;
}

std::string read_body(std::istream& stream, std::size_t max_bytes) {
    std::string body;
    std::array<char, read_chunk_bytes> chunk{};
    while (stream.good()) {
        stream.read(chunk.data(), chunk.size());
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_bytes) {
            throw core::outcome_unknown("the response is larger than " + std::to_string(max_bytes) +
                                        " bytes");
        }
    }
    return body;
}

incoming_answer receive_answer(Poco::Net::HTTPClientSession& session, const std::string& id,
                               std::size_t max_bytes) {
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    auto body = read_body(stream, max_bytes);
    if (!response.hasContentLength() ||
        static_cast<std::uint64_t>(response.getContentLength64()) != body.size()) {
        throw core::outcome_unknown("the response was truncated");
    }
    if (response.get(request_id_header, id) != id) {
        throw core::outcome_unknown("the response carries the X-Request-Id of another request");
    }
    return {.status = response.getStatus(), .body = std::move(body)};
}

} // namespace

incoming_answer call_http(const core::endpoint& host, const outgoing_request& request,
                          const call_limits& limits) {
    const auto id = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    auto connection = Poco::makeAuto<deadline_socket_impl>(std::chrono::steady_clock::now() + limits.total);
    const Poco::Net::StreamSocket socket{connection.duplicate()};
    try {
        connection->connect_before_deadline(Poco::Net::SocketAddress{host.address, host.port},
                                            limits.connect);
        Poco::Net::HTTPClientSession session{socket};
        send_request(session, host, request, id);
        return receive_answer(session, id, limits.max_answer_bytes);
    } catch (const Poco::Exception& error) {
        const auto reason = host.text() + ": " + error.displayText();
        if (connection->may_have_sent()) {
            throw core::outcome_unknown(reason);
        }
        throw core::unavailable(reason);
    }
}

} // namespace rattanmount::front
