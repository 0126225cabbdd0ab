#pragma once

#include "core/endpoint.h"
#include "tests/external/scripted_server.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <thread>
#include <vector>

namespace platform_test {

/// Accepts one connection, reads nothing until the client's send buffer is full, then reads a number of bytes
/// and answers with status 200.
class slow_reader {
public:
    explicit slow_reader(std::size_t expected_bytes)
        : socket(Poco::Net::SocketAddress{"127.0.0.1", 0}),
          worker([this, expected_bytes] { this->serve(expected_bytes); }) {}

    /// @return its address.
    [[nodiscard]] rattanmount::core::endpoint at() const {
        return {.address = "127.0.0.1", .port = this->socket.address().port()};
    }

private:
    void serve(std::size_t expected_bytes) {
        auto connection = this->socket.acceptConnection();
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
        std::vector<char> buffer(1'000'000);
        for (std::size_t received = 0; received < expected_bytes;) {
            const auto taken = connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (taken <= 0) {
                return;
            }
            received += static_cast<std::size_t>(taken);
        }
        const auto answer = scripted_server::answer("200 OK", "");
        connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    }

    Poco::Net::ServerSocket socket;
    std::jthread worker;
};

} // namespace platform_test
