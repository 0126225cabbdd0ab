#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Returns the milliseconds since the first call in this process.
inline std::int64_t now_ms() {
    static const auto start = steady::now();
    return std::chrono::duration_cast<milliseconds>(steady::now() - start).count();
}

/// A request that a stand-in has received.
struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string instance; ///< X-Rattanmount-Expected-Instance; empty if missing.
    std::string body;
};

/// The answer of a stand-in; status 0 closes the connection without an answer.
struct reply {
    int status = 200;
    std::string body;
    std::string type = "application/json";
};

using handler = std::function<reply(const request&)>;

inline reply json_reply(int status, const json& body) {
    return {.status = status, .body = body.dump()};
}

/// An HTTP server on a loopback port, one thread per connection.
class http_server {
public:
    /// @param port the port; 0 for any free port.
    explicit http_server(handler handle, std::uint16_t port = 0, int threads = 64)
        : pool(2, threads, 10), socket(make_socket(port)) {
        auto* params = new Poco::Net::HTTPServerParams;
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(0);
        params->setKeepAliveTimeout(Poco::Timespan(30, 0));
        params->setMaxThreads(threads);
        params->setMaxQueued(256);
        this->server = std::make_unique<Poco::Net::HTTPServer>(new factory(std::move(handle)), this->pool,
                                                               this->socket, params);
        this->server->start();
    }
    ~http_server() {
        this->server->stopAll(true);
        this->socket.close();
        this->server.reset();
        this->pool.joinAll();
    }

    [[nodiscard]] std::uint16_t port() const { return this->socket.address().port(); }

private:
    static Poco::Net::ServerSocket make_socket(std::uint16_t port) {
        Poco::Net::ServerSocket made;
        made.bind(Poco::Net::SocketAddress("127.0.0.1", port), true);
        made.listen(256);
        return made;
    }

    struct request_handler : Poco::Net::HTTPRequestHandler {
        explicit request_handler(const handler& handle) : handle(handle) {}
        void handleRequest(Poco::Net::HTTPServerRequest& from, Poco::Net::HTTPServerResponse& to) override {
            const Poco::URI uri{from.getURI()};
            request received{.method = from.getMethod(), .path = uri.getPath()};
            for (const auto& [name, value] : uri.getQueryParameters()) {
                received.query[name] = value;
            }
            received.instance = from.get("X-Rattanmount-Expected-Instance", "");
            Poco::StreamCopier::copyToString(from.stream(), received.body);
            reply answer;
            try {
                answer = this->handle(received);
            } catch (const std::exception& error) {
                answer = json_reply(400, {{"error", error.what()}});
            }
            to.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
            to.setContentType(answer.type);
            to.setKeepAlive(true);
            to.sendBuffer(answer.body.data(), answer.body.size());
        }
        const handler& handle;
    };
    struct factory : Poco::Net::HTTPRequestHandlerFactory {
        explicit factory(handler handle) : handle(std::move(handle)) {}
        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override {
            return new request_handler(this->handle);
        }
        handler handle;
    };

    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

/// Sends one request to a loopback port; status 0 if there is no answer.
inline reply call(std::uint16_t port, const std::string& method, const std::string& path,
                  const std::string& host, const std::string& body = "",
                  milliseconds timeout = milliseconds{3000}) {
    try {
        Poco::Net::HTTPClientSession session{"127.0.0.1", port};
        session.setTimeout(Poco::Timespan(timeout.count() * 1000));
        Poco::Net::HTTPRequest message{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
        message.setHost(host);
        message.set("X-Rattanmount-Timeout-Ms", std::to_string(timeout.count()));
        if (!body.empty()) {
            message.setContentType("application/json");
        }
        message.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(message) << body;
        Poco::Net::HTTPResponse head;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(head), text);
        return {.status = static_cast<int>(head.getStatus()), .body = text};
    } catch (const std::exception&) {
        return {.status = 0};
    }
}

} // namespace review
