#pragma once

#include "core/endpoint.h"

#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::inner {

/// A peer that runs a test's script for each connection, one connection at a time, on one thread.
class scripted_peer {
public:
    using script = std::function<void(apache::thrift::transport::TSocket& connection, int number)>;

    /// @param serve called with each connection and its number, counted from 0.
    explicit scripted_peer(script serve) : socket("127.0.0.1", 0) {
        this->socket.listen();
        this->thread = std::thread{[this, serve = std::move(serve)] {
            try {
                for (int number = 0;; number++) {
                    const auto connection = this->socket.accept();
                    this->accepted++;
                    serve(dynamic_cast<apache::thrift::transport::TSocket&>(*connection), number);
                }
            } catch (const apache::thrift::TException&) {
                // The destructor interrupts accept() and the connections.
            }
        }};
    }

    ~scripted_peer() {
        this->socket.interruptChildren();
        this->socket.interrupt();
        this->thread.join();
    }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    [[nodiscard]] core::endpoint endpoint() const {
        return {
            .address = "127.0.0.1", .port = static_cast<std::uint16_t>(this->socket.getPort()), .path = ""};
    }

    /// @return one frame including its length prefix.
    static std::string read_frame(apache::thrift::transport::TSocket& connection) {
        std::string frame = read_bytes(connection, 4);
        const auto byte = [&](std::size_t i) {
            return static_cast<std::uint32_t>(static_cast<unsigned char>(frame[i]));
        };
        return frame + read_bytes(connection, byte(0) << 24 | byte(1) << 16 | byte(2) << 8 | byte(3));
    }

    static void write(apache::thrift::transport::TSocket& connection, const std::string& bytes) {
        connection.write(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                         static_cast<std::uint32_t>(bytes.size()));
    }

    /// Reads until the other side closes the connection.
    static void wait_for_end(apache::thrift::transport::TSocket& connection) {
        try {
            while (!read_bytes(connection, 1).empty()) {
            }
        } catch (const apache::thrift::transport::TTransportException& error) {
            if (error.getType() == apache::thrift::transport::TTransportException::INTERRUPTED) {
                throw;
            }
        }
    }

    std::atomic<int> accepted{0};

private:
    static std::string read_bytes(apache::thrift::transport::TSocket& connection, std::uint32_t size) {
        std::string bytes(size, '\0');
        std::uint32_t done = 0;
        while (done < size) {
            const auto count =
                connection.read(reinterpret_cast<std::uint8_t*>(bytes.data()) + done, size - done);
            if (count == 0) {
                throw apache::thrift::transport::TTransportException(
                    apache::thrift::transport::TTransportException::END_OF_FILE);
            }
            done += count;
        }
        return bytes;
    }

    apache::thrift::transport::TServerSocket socket;
    std::thread thread;
};

} // namespace rattanmount::inner
