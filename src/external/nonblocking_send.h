#pragma once

#include <cstddef>
#include <string_view>

namespace rattanmount::external {

/// Sends as many bytes as a socket takes without blocking. Poco's own sendBytes() throws if a non-blocking
/// socket takes none.
/// @param socket the descriptor of a connected socket.
/// @param bytes what to send.
/// @return the number of bytes taken; 0 if the send buffer is full.
/// @throws Poco::Net::NetException if the connection is closed. Never raises SIGPIPE.
[[nodiscard]] std::size_t send_available(int socket, std::string_view bytes);

} // namespace rattanmount::external
