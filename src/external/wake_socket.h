#pragma once

#include <Poco/Net/StreamSocket.h>

namespace rattanmount::external {

/// Wakes a thread that polls sockets. Wraps an eventfd as a Poco socket.
///
/// Add socket() to the poll set of the waiting thread. Owned by the owner of that thread. Any thread may call
/// wake(); the waiting thread calls drain() when the socket is readable.
class wake_socket {
public:
    /// @throws core::unavailable if no file descriptor is available.
    wake_socket();

    /// @return the socket to poll for reading.
    [[nodiscard]] const Poco::Net::StreamSocket& socket() const { return this->polled; }

    /// Makes the socket readable until drain().
    void wake();

    /// Clears all previous calls of wake().
    void drain();

private:
    Poco::Net::StreamSocket polled;
};

} // namespace rattanmount::external
