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

/// Stands between a client and a server, and loses track of connections when the test says so: they stay open
/// and carry nothing any more, while new ones work.
class silencer {
public:
    explicit silencer(const core::endpoint& server) : server(server), socket("127.0.0.1", 0) {
        this->socket.listen();
        this->threads.emplace_back([this] { this->accept(); });
    }

    ~silencer() {
        this->socket.interruptChildren();
        this->socket.interrupt();
        this->threads.front().join();
        for (std::size_t i = 1; i < this->threads.size(); i++) {
            this->threads[i].join();
        }
    }

    silencer(const silencer&) = delete;
    silencer& operator=(const silencer&) = delete;

    [[nodiscard]] core::endpoint endpoint() const {
        return {
            .address = "127.0.0.1", .port = static_cast<std::uint16_t>(this->socket.getPort()), .path = ""};
    }

    /// Makes all connections that are open now silent.
    void lose_open_connections() { this->lost = this->accepted.load(); }

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
            return; // The test is over.
        }
    }

    /// Carries requests and answers, of which each comes in one piece here.
    void forward(const transport& client, const transport& upstream, int number) {
        std::array<std::uint8_t, 65536> chunk{};
        try {
            for (;;) {
                auto size = client->read(chunk.data(), chunk.size());
                if (size == 0) {
                    return;
                }
                if (number <= this->lost) {
                    continue;
                }
                upstream->write(chunk.data(), size);
                size = upstream->read(chunk.data(), chunk.size());
                client->write(chunk.data(), size);
            }
        } catch (const apache::thrift::TException&) {
            return; // One side is closed.
        }
    }

    core::endpoint server;
    apache::thrift::transport::TServerSocket socket;
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
};

} // namespace rattanmount::inner
