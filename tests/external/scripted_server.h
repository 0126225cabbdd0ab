#pragma once

#include "core/endpoint.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace platform_test {

/// Accepts one connection, reads once, sends one text at once and another byte by byte, and closes.
class scripted_server {
public:
    /// @param at_once sent first.
    /// @param bytewise sent next, one byte every 10 ms.
    explicit scripted_server(std::string at_once, std::string bytewise = "")
        : socket(Poco::Net::SocketAddress{"127.0.0.1", 0}),
          worker([this, at_once = std::move(at_once), bytewise = std::move(bytewise)] {
              this->serve(at_once, bytewise);
          }) {}

    /// @return its address.
    [[nodiscard]] rattanmount::core::endpoint at() const {
        return {.address = "127.0.0.1", .port = this->socket.address().port()};
    }

    /// Returns an HTTP answer with the correlation id of a client's first call.
    /// @param status the status code and the reason phrase.
    [[nodiscard]] static std::string answer(const std::string& status, const std::string& body) {
        return "HTTP/1.1 " + status +
               "\r\nX-Correlation-Id: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

private:
    void serve(const std::string& at_once, const std::string& bytewise) {
        auto connection = this->socket.acceptConnection();
        std::array<char, 1024> ignored{};
        connection.receiveBytes(ignored.data(), ignored.size());
        try {
            connection.sendBytes(at_once.data(), static_cast<int>(at_once.size()));
            for (const char byte : bytewise) {
                connection.sendBytes(&byte, 1);
                std::this_thread::sleep_for(std::chrono::milliseconds{10});
            }
        } catch (const Poco::Exception&) {
            // The client closed the connection after its timeout.
        }
    }

    Poco::Net::ServerSocket socket;
    std::jthread worker;
};

} // namespace platform_test
