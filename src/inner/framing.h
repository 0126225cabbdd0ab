#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <memory>

namespace rattanmount::inner {

/// The default limit on the size of a message of the inner protocol.
inline constexpr std::size_t default_max_message_bytes = std::size_t{8} * 1024 * 1024;

/// Returns the Thrift configuration that limits messages to a size.
[[nodiscard]] std::shared_ptr<apache::thrift::TConfiguration> make_limits(std::size_t max_message_bytes);

/// Returns a transport that sends and receives length-prefixed messages over a socket.
/// @param socket the underlying connection.
/// @param limits the message size limits.
[[nodiscard]] std::shared_ptr<apache::thrift::transport::TTransport>
make_framed(const std::shared_ptr<apache::thrift::transport::TTransport>& socket,
            const std::shared_ptr<apache::thrift::TConfiguration>& limits);

/// Stops the Thrift library from writing to standard error. Failures are reported as exceptions and counters.
void silence_thrift_output();

} // namespace rattanmount::inner
