#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <memory>

namespace rattanmount::inner {

/// The largest message that either side of the inner protocol takes, unless set otherwise.
inline constexpr std::size_t default_max_message_bytes = std::size_t{8} * 1024 * 1024;

/// @param max_message_bytes the largest message to take.
/// @return the bounds in Thrift's form.
[[nodiscard]] std::shared_ptr<apache::thrift::TConfiguration> make_limits(std::size_t max_message_bytes);

/// @param socket a connection.
/// @param limits bounds of the sizes of messages.
/// @return a transport that sends and takes whole messages, each with its length in front.
[[nodiscard]] std::shared_ptr<apache::thrift::transport::TTransport>
make_framed(const std::shared_ptr<apache::thrift::transport::TTransport>& socket,
            const std::shared_ptr<apache::thrift::TConfiguration>& limits);

/// Keeps the Thrift library from writing to standard error; failures are told by exceptions and counters.
void silence_thrift_output();

} // namespace rattanmount::inner
