#pragma once

#include "core/endpoint.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace rattanmount::front {

/// @return a connection to a server, with a receive timeout of 5 s.
inline Poco::Net::StreamSocket connect_to(const core::endpoint& server) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{server.address, server.port}};
    socket.setReceiveTimeout(Poco::Timespan{5, 0});
    return socket;
}

inline void send_text(Poco::Net::StreamSocket& socket, const std::string& text) {
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

/// @return all bytes until the peer closes the connection.
inline std::string read_to_end(Poco::Net::StreamSocket& socket) {
    std::string text;
    std::array<char, 4096> chunk{};
    for (;;) {
        const auto size = socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (size <= 0) {
            return text;
        }
        text.append(chunk.data(), static_cast<std::size_t>(size));
    }
}

/// @return an HTTP request as text.
inline std::string request_text(const std::string& method, const std::string& target, const std::string& body,
                                const std::string& more_headers = "Connection: close\r\n") {
    return method + " " + target +
           " HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           more_headers + "\r\n" + body;
}

/// Sends one request on a new connection.
/// @return the status line, headers and body of the response.
inline std::string exchange(const core::endpoint& server, const std::string& text) {
    auto socket = connect_to(server);
    send_text(socket, text);
    return read_to_end(socket);
}

/// A server that passes each accepted connection to a function of the test, one at a time on one thread.
class scripted_host {
public:
    explicit scripted_host(std::function<void(Poco::Net::StreamSocket&)> serve)
        : socket(Poco::Net::SocketAddress{"127.0.0.1", 0}) {
        this->thread = std::thread{[this, serve = std::move(serve)] {
            for (;;) {
                auto connection = this->socket.acceptConnection();
                if (this->ending) {
                    return;
                }
                this->accepted++;
                try {
                    serve(connection);
                } catch (const Poco::Exception&) {
                    // The client has closed the connection.
                }
            }
        }};
    }

    ~scripted_host() {
        this->ending = true;
        Poco::Net::StreamSocket last{this->socket.address()};
        this->thread.join();
    }

    scripted_host(const scripted_host&) = delete;
    scripted_host& operator=(const scripted_host&) = delete;

    [[nodiscard]] core::endpoint endpoint() const {
        return {.address = "127.0.0.1", .port = this->socket.address().port(), .path = ""};
    }

    std::atomic<int> accepted{0};

private:
    Poco::Net::ServerSocket socket;
    std::atomic<bool> ending{false};
    std::thread thread;
};

} // namespace rattanmount::front
