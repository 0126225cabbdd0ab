#include "stand_ins/stand_in_server.h"

#include "core/errors.h"
#include "external/http_message.h"
#include "stand_ins/stand_in_connection.h"
#include "stand_ins/stand_in_handler.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace rattanmount::stand_ins {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int listen_backlog = 1024;
constexpr int min_threads = 8;
constexpr int idle_thread_seconds = 60;
constexpr long connection_idle_seconds = 3600;
constexpr core::milliseconds closed_check_interval{200};

core::steady_time now() {
    return std::chrono::steady_clock::now();
}

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        throw core::invalid_argument("expected a non-negative integer, got '" + text + "'");
    }
    return number;
}

std::string percent_decode(const std::string& text) {
    std::string decoded;
    Poco::URI::decode(text, decoded);
    return decoded;
}

/// Splits the path before decoding, so that a name may contain an encoded slash.
std::vector<std::string> path_segments(const std::string& uri) {
    const auto path = uri.substr(0, uri.find('?'));
    std::vector<std::string> segments;
    for (std::size_t begin = 0; begin < path.size();) {
        const auto end = std::min(path.find('/', begin), path.size());
        if (end > begin) {
            segments.push_back(percent_decode(path.substr(begin, end - begin)));
        }
        begin = end + 1;
    }
    return segments;
}

stand_in_call decode_call(HTTPServerRequest& request) {
    const Poco::URI uri{request.getURI()};
    stand_in_call call{.method = request.getMethod(),
                       .path = path_segments(request.getURI()),
                       .correlation = request.get(external::correlation_header, ""),
                       .request_id = percent_decode(request.get(external::request_id_header, "")),
                       .limit = core::milliseconds{parse_number(request.get(external::limit_header, "0"))},
                       .if_none_match = request.get("If-None-Match", ""),
                       .connection = request.clientAddress().toString()};
    for (const auto& [name, value] : uri.getQueryParameters()) {
        if (name == "from") {
            call.from = parse_number(value);
        } else if (name == "max") {
            call.max = parse_number(value);
        }
    }
    call.body.assign(std::istreambuf_iterator<char>{request.stream()}, {});
    return call;
}

void set_headers(HTTPServerResponse& response, const stand_in_reply& reply, const std::string& correlation) {
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.erase(Poco::Net::HTTPResponse::DATE);
    response.erase(Poco::Net::HTTPMessage::CONNECTION);
    if (!correlation.empty()) {
        response.set(external::correlation_header, correlation);
    }
    if (!reply.etag.empty()) {
        response.set("ETag", reply.etag);
    }
    if (reply.close_connection) {
        response.setKeepAlive(false);
    }
}

void send(HTTPServerResponse& response, const stand_in_reply& reply, const std::string& correlation) {
    set_headers(response, reply, correlation);
    response.setContentLength64(static_cast<Poco::Int64>(reply.body.size()));
    response.send() << reply.body << std::flush;
}

void send_truncated(HTTPServerResponse& response, const stand_in_reply& reply,
                    const std::string& correlation) {
    set_headers(response, reply, correlation);
    response.setKeepAlive(false);
    response.setContentLength64(static_cast<Poco::Int64>(reply.body.size()) + 1);
    response.send() << reply.body << std::flush;
}

Poco::Net::StreamSocket& socket_of(HTTPServerRequest& request) {
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

void shut_down(Poco::Net::StreamSocket& socket) {
    try {
        socket.shutdown();
    } catch (const Poco::Exception&) {
        // The client has already closed the connection.
    }
}

void close_without_answer(HTTPServerRequest& request) {
    request.response().setKeepAlive(false);
    shut_down(socket_of(request));
}

Poco::Net::HTTPServerParams::Ptr server_params(int max_threads) {
    Poco::Net::HTTPServerParams::Ptr params{Poco::makeAuto<Poco::Net::HTTPServerParams>()};
    params->setMaxThreads(max_threads);
    params->setMaxQueued(max_threads);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan{connection_idle_seconds, 0});
    return params;
}

Poco::Net::ServerSocket listen_at(std::uint16_t port) {
    return Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", port}, listen_backlog};
}

} // namespace

stand_in_server::stand_in_server(stand_in_server_options options, role_hooks role, journal& events,
                                 fault_injector& faults)
    : role(std::move(role)), events(events), faults(faults),
      threads(min_threads, options.max_threads, idle_thread_seconds), socket(listen_at(options.port)) {
    const auto params = server_params(options.max_threads);
    const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers{
        Poco::makeShared<stand_in_handler_factory>(*this)};
    const Poco::Net::TCPServerConnectionFactory::Ptr connections{
        Poco::makeShared<stand_in_connection_factory>(params, handlers, *this)};
    this->server = std::make_unique<Poco::Net::TCPServer>(connections, this->threads, this->socket, params);
    this->server->start();
}

stand_in_server::~stand_in_server() {
    this->stop();
}

std::uint16_t stand_in_server::port() const {
    return this->server->port();
}

void stand_in_server::inject_fault(const fault& injected) {
    const auto time = now();
    const auto active = this->faults.activate(injected, time);
    this->events.add(time, {.kind = journal_kind::fault,
                            .target = injected.target,
                            .detail = std::string{to_string(injected.kind)}});
    if (injected.kind == fault_kind::silent_connections) {
        const std::lock_guard lock{this->mutex};
        for (auto& [peer, connection] : this->open_connections) {
            connection.silent = true;
        }
    }
    this->role.on_fault(active, time);
}

void stand_in_server::stop() {
    {
        const std::lock_guard lock{this->mutex};
        if (this->stop_requested) {
            return;
        }
        this->stop_requested = true;
        for (auto& [peer, connection] : this->open_connections) {
            if (!connection.busy) {
                shut_down(connection.socket);
            }
        }
    }
    this->stopped.notify_all();
    // Wakes Poco's accept thread, which otherwise notices the stop only at its next timeout.
    this->socket.impl()->shutdownReceive();
    this->server->stop();
    this->threads.joinAll();
}

void stand_in_server::connection_opened(const std::string& connection,
                                        const Poco::Net::StreamSocket& socket) {
    this->events.add(now(), {.kind = journal_kind::connection_opened, .target = connection});
    const std::lock_guard lock{this->mutex};
    this->open_connections.insert_or_assign(connection, open_connection{.socket = socket});
}

void stand_in_server::connection_closed(const std::string& connection) {
    this->events.add(now(), {.kind = journal_kind::connection_closed, .target = connection});
    this->role.on_connection_closed(connection);
    const std::lock_guard lock{this->mutex};
    this->open_connections.erase(connection);
}

void stand_in_server::set_busy(const std::string& connection, bool busy) {
    const std::lock_guard lock{this->mutex};
    auto& open = this->open_connections.at(connection);
    open.busy = busy;
    if (!busy && this->stop_requested) {
        shut_down(open.socket);
    }
}

void stand_in_server::serve(HTTPServerRequest& request, HTTPServerResponse& response) {
    const auto connection = request.clientAddress().toString();
    this->set_busy(connection, true);
    try {
        const auto call = decode_call(request);
        if (!this->serve_control(call, response)) {
            this->serve_role(call, request, response);
        }
    } catch (const core::invalid_argument& error) {
        send(response, refusal(400, error.what()), request.get(external::correlation_header, ""));
    } catch (const Poco::SyntaxException& error) {
        send(response, refusal(400, error.displayText()), request.get(external::correlation_header, ""));
    }
    this->set_busy(connection, false);
}

bool stand_in_server::serve_control(const stand_in_call& call, HTTPServerResponse& response) {
    if (call.path.size() != 1) {
        return false;
    }
    if (call.path[0] == "journal" && call.method == "GET") {
        this->role.advance_to(now());
        send(response, {.body = this->events.json(call.from)}, call.correlation);
        return true;
    }
    if (call.path[0] != "faults") {
        return false;
    }
    if (call.method == "PUT") {
        this->inject_fault(decode_fault(call.body));
    } else if (call.method == "DELETE") {
        this->faults.clear();
        const std::lock_guard lock{this->mutex};
        for (auto& [peer, connection] : this->open_connections) {
            connection.silent = false;
        }
    } else {
        throw core::invalid_argument("/faults accepts PUT and DELETE, got " + call.method);
    }
    send(response, {.body = "{}"}, call.correlation);
    return true;
}

void stand_in_server::serve_role(const stand_in_call& call, HTTPServerRequest& request,
                                 HTTPServerResponse& response) {
    const auto name = this->role.call_name(call);
    const auto target = call.target();
    if (name.empty()) {
        send(response, this->handle(call), call.correlation);
        return;
    }
    const auto hit = [this, &name, &target](fault_kind kind) {
        return this->faults.consume(kind, {.call = name, .target = target, .now = now()});
    };
    if (this->is_silent(call.connection)) {
        this->hold_until_closed(request);
        return;
    }
    this->wait_while_frozen({.call = name, .target = target, .now = now()});
    if (this->is_stopping() || hit(fault_kind::down)) {
        close_without_answer(request);
        return;
    }
    if (hit(fault_kind::refuse)) {
        send(response, refusal(503, "refused by an injected fault"), call.correlation);
        return;
    }
    if (const auto slow = hit(fault_kind::slow)) {
        this->wait_until_or_stopped(now() + slow->length);
    }
    const auto reply = this->handle(call);
    this->wait_while_frozen({.call = name, .target = target, .now = now()});
    if (hit(fault_kind::effect_without_answer)) {
        close_without_answer(request);
    } else if (hit(fault_kind::crossed_answer)) {
        send(response, reply, call.correlation + "0");
    } else if (hit(fault_kind::short_answer)) {
        send_truncated(response, reply, call.correlation);
        close_without_answer(request);
    } else {
        send(response, reply, call.correlation);
    }
}

stand_in_reply stand_in_server::handle(const stand_in_call& call) const {
    try {
        return this->role.handle(call);
    } catch (const core::invalid_argument& error) {
        return refusal(400, error.what());
    }
}

void stand_in_server::hold_until_closed(HTTPServerRequest& request) {
    auto& socket = socket_of(request);
    std::array<char, 1024> ignored{};
    request.response().setKeepAlive(false);
    while (!this->is_stopping()) {
        if (socket.poll(Poco::Timespan{std::chrono::microseconds{closed_check_interval}.count()},
                        Poco::Net::Socket::SELECT_READ) &&
            socket.receiveBytes(ignored.data(), ignored.size()) <= 0) {
            return;
        }
    }
    close_without_answer(request);
}

void stand_in_server::wait_while_frozen(const injection_point& site) {
    while (const auto frozen = this->faults.consume(fault_kind::freeze, {site.call, site.target, now()})) {
        if (this->is_stopping()) {
            return;
        }
        this->wait_until_or_stopped(frozen->until);
    }
}

void stand_in_server::wait_until_or_stopped(core::steady_time until) {
    std::unique_lock lock{this->mutex};
    this->stopped.wait_until(lock, until, [this] { return this->stop_requested; });
}

bool stand_in_server::is_silent(const std::string& connection) {
    const std::lock_guard lock{this->mutex};
    return this->open_connections.at(connection).silent;
}

bool stand_in_server::is_stopping() {
    const std::lock_guard lock{this->mutex};
    return this->stop_requested;
}

} // namespace rattanmount::stand_ins
