#pragma once

#include "core/endpoint.h"

#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace rattanmount::inner {

/// A proxy between a client and a server that can stall connections: they stay open but no data is forwarded,
/// as when a device on the path drops its connection state. New connections still work.
class stalling_proxy {
public:
    explicit stalling_proxy(const core::endpoint& server) : server(server), socket("127.0.0.1", 0) {
        this->socket.listen();
        this->threads.emplace_back([this] { this->accept(); });
    }

    ~stalling_proxy() {
        this->socket.interruptChildren();
        this->socket.interrupt();
        this->threads.front().join();
        for (std::size_t i = 1; i < this->threads.size(); i++) {
            this->threads[i].join();
        }
    }

    stalling_proxy(const stalling_proxy&) = delete;
    stalling_proxy& operator=(const stalling_proxy&) = delete;

    [[nodiscard]] core::endpoint endpoint() const {
        return {
            .address = "127.0.0.1", .port = static_cast<std::uint16_t>(this->socket.getPort()), .path = ""};
    }

    /// Stalls all connections that are open now.
    void stall_open_connections() { this->stalled = this->accepted.load(); }

    std::atomic<int> accepted{0};

private:
    using transport = std::shared_ptr<apache::thrift::transport::TSocket>;

    void accept() {
        try {
            for (;;) {
                const auto client =
                    std::dynamic_pointer_cast<apache::thrift::transport::TSocket>(this->socket.accept());
                const auto upstream = std::make_shared<apache::thrift::transport::TSocket>(
                    this->server.address, this->server.port);
                upstream->open();
                const int number = ++this->accepted;
                this->threads.emplace_back([=, this] { this->forward(client, upstream, number); });
            }
        } catch (const apache::thrift::TException&) {
            return; // The destructor interrupts accept().
        }
    }

    /// Forwards requests and answers. Expects each to arrive in a single read, which holds for the small
    /// messages of the tests.
    void forward(const transport& client, const transport& upstream, int number) {
        std::array<std::uint8_t, 65536> chunk{};
        try {
            for (;;) {
                auto size = client->read(chunk.data(), chunk.size());
                if (size == 0) {
                    return;
                }
                if (number <= this->stalled) {
                    continue;
                }
                upstream->write(chunk.data(), size);
                size = upstream->read(chunk.data(), chunk.size());
                client->write(chunk.data(), size);
            }
        } catch (const apache::thrift::TException&) {
            return; // One side has closed its connection.
        }
    }

    core::endpoint server;
    apache::thrift::transport::TServerSocket socket;
    std::atomic<int> stalled{0};
    std::vector<std::thread> threads;
};

} // namespace rattanmount::inner
