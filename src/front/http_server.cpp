#include "front/http_server.h"

#include "core/errors.h"
#include "front/body_reader.h"
#include "front/routes.h"
#include "front/timespan.h"
#include "telemetry/logging.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <exception>
#include <utility>

namespace rattanmount::front {

namespace {

constexpr int accept_backlog = 256;
/// The longest wait of the polling thread, so that it notices a stop request.
constexpr core::milliseconds poll_interval{500};
/// The delay after a failed accept, which means that the process is out of file descriptors.
constexpr core::milliseconds accept_retry_delay{50};
/// How often idle connections are checked for their timeout.
constexpr core::milliseconds sweep_interval{5000};

/// A session that also reports whether bytes of the next request have already been read (pipelining).
class caller_session : public Poco::Net::HTTPServerSession {
public:
    using HTTPServerSession::HTTPServerSession;

    [[nodiscard]] bool has_buffered_bytes() const { return this->buffered() > 0; }
};

} // namespace

/// A connection from a caller, with its HTTP session.
struct http_server::connection {
    connection(const Poco::Net::StreamSocket& socket, const Poco::Net::HTTPServerParams::Ptr& params)
        : socket(socket), session(socket, params) {}

    Poco::Net::StreamSocket socket;
    caller_session session;
    core::steady_time idle_since = std::chrono::steady_clock::now();
    bool busy = false; ///< True while a request is served; guarded by the server's mutex.
};

http_server::http_server(http_server_options options)
    : options(std::move(options)), params(Poco::makeAuto<Poco::Net::HTTPServerParams>()) {
    constexpr int unlimited_requests = 0;
    this->params->setTimeout(to_timespan(this->options.receive_timeout));
    this->params->setKeepAlive(true);
    this->params->setMaxKeepAliveRequests(unlimited_requests);
}

http_server::~http_server() {
    this->stop(core::milliseconds{0});
}

void http_server::start() {
    try {
        const Poco::Net::SocketAddress address{this->options.listen.address, this->options.listen.port};
        this->socket.bind(address, true);
        this->socket.listen(accept_backlog);
    } catch (const Poco::Exception& error) {
        throw core::unavailable("cannot listen on " + this->options.listen.text() + ": " +
                                error.displayText());
    }
    this->poll_set.add(this->socket, Poco::Net::PollSet::POLL_READ);
    this->poller = std::jthread{[this](const std::stop_token& stop) { this->poll_sockets(stop); }};
}

void http_server::stop(core::milliseconds grace) {
    if (!this->poller.joinable()) {
        return;
    }
    this->drain();
    this->requests.wait_until_idle(this->options.quiet_time, std::chrono::steady_clock::now() + grace);
    this->poller.request_stop();
    this->poller.join();
    this->socket.close();
    const std::lock_guard guard{this->mutex};
    this->connections.clear();
}

core::endpoint http_server::endpoint() const {
    return {.address = this->options.listen.address, .port = this->socket.address().port(), .path = ""};
}

void http_server::poll_sockets(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        for (const auto& [ready, mode] : this->poll_set.poll(to_timespan(poll_interval))) {
            if (ready == this->socket) {
                this->accept_connection();
            } else {
                this->begin_request(ready);
            }
        }
        this->close_idle_connections();
    }
}

void http_server::accept_connection() {
    try {
        auto accepted = this->socket.acceptConnection();
        accepted.setNoDelay(true);
        const std::lock_guard guard{this->mutex};
        if (this->connections.size() >= this->options.max_connections) {
            return;
        }
        this->connections.emplace(accepted, std::make_shared<connection>(accepted, this->params));
        this->poll_set.add(accepted, Poco::Net::PollSet::POLL_READ);
    } catch (const Poco::Exception&) {
        std::this_thread::sleep_for(accept_retry_delay);
    }
}

void http_server::begin_request(const Poco::Net::Socket& ready) {
    connection_ptr served;
    {
        const std::lock_guard guard{this->mutex};
        const auto found = this->connections.find(ready);
        this->poll_set.remove(ready);
        if (found == this->connections.end()) {
            return;
        }
        served = found->second;
        served->busy = true;
    }
    this->requests.begin();
    this->options.execute([this, served] {
        this->serve(served);
        this->requests.end();
    });
}

void http_server::serve(const connection_ptr& served) {
    try {
        do {
            if (!this->serve_request(*served)) {
                this->close(served);
                return;
            }
        } while (served->session.has_buffered_bytes());
        this->await_next_request(served);
    } catch (const Poco::Exception&) {
        // The peer closed the connection or it failed, so no response can be sent.
        this->close(served);
    }
}

bool http_server::serve_request(connection& served) {
    Poco::Net::HTTPServerResponseImpl response{served.session};
    Poco::Net::HTTPServerRequestImpl request{response, served.session, this->params};
    response.setVersion(request.getVersion());
    const auto reply = this->answer(request);
    const bool has_unread_body =
        reply.status == http_status::too_large || reply.status == http_status::request_timeout;
    const bool keep = request.getKeepAlive() && !has_unread_body && !this->draining;
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(static_cast<int>(reply.status)));
    response.setContentType(reply.content_type);
    for (const auto& field : reply.headers) {
        response.set(field.name, field.value);
    }
    response.setKeepAlive(keep);
    response.sendBuffer(reply.body.data(), reply.body.size());
    return keep;
}

http_reply http_server::answer(Poco::Net::HTTPServerRequest& request) const {
    const auto deadline = std::chrono::steady_clock::now() + this->options.receive_timeout;
    http_request received{.method = request.getMethod(), .target = request.getURI(), .body = ""};
    received.host = request.get(Poco::Net::HTTPRequest::HOST, "");
    for (const auto& name : this->options.kept_headers) {
        if (request.has(name)) {
            received.headers.push_back({.name = name, .value = request.get(name)});
        }
    }
    switch (read_body(request, this->options.max_body_bytes, deadline, received.body)) {
    case body_read_result::complete:
        return this->handle(received);
    case body_read_result::too_large:
        return refused_reply(http_status::too_large, "the request body is too large");
    case body_read_result::timed_out:
        return refused_reply(http_status::request_timeout, "timed out while receiving the request body");
    case body_read_result::truncated:
        break;
    }
    return refused_reply(http_status::bad_request, "the request body is shorter than its Content-Length");
}

http_reply http_server::handle(const http_request& request) const {
    try {
        return this->options.handle(request);
    } catch (const std::exception& error) {
        telemetry::log_state("handler of a request failed", {{"reason", error.what()}},
                             telemetry::log_level::error);
        return {.status = http_status::internal_error, .body = "{}"};
    }
}

void http_server::await_next_request(const connection_ptr& served) {
    const std::lock_guard guard{this->mutex};
    served->busy = false;
    served->idle_since = std::chrono::steady_clock::now();
    this->poll_set.add(served->socket, Poco::Net::PollSet::POLL_READ);
}

void http_server::close(const connection_ptr& served) {
    const std::lock_guard guard{this->mutex};
    this->connections.erase(served->socket);
}

void http_server::close_idle_connections() {
    const auto now = std::chrono::steady_clock::now();
    if (now < this->swept_at + sweep_interval) {
        return;
    }
    this->swept_at = now;
    const std::lock_guard guard{this->mutex};
    std::erase_if(this->connections, [&](const auto& entry) {
        const bool expired =
            !entry.second->busy && entry.second->idle_since + this->options.idle_timeout < now;
        if (expired) {
            this->poll_set.remove(entry.first);
        }
        return expired;
    });
}

} // namespace rattanmount::front
