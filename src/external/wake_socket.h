#pragma once

#include <Poco/Net/StreamSocket.h>

namespace rattanmount::external {

/// Ends the wait of a thread that polls sockets: a descriptor for counting events, in the form of a socket.
///
/// Put socket() into the poll set of the waiting thread. Owned by what owns that thread; any thread may
/// wake(), the waiting one calls drain() when the socket can be read.
class wake_socket {
public:
    /// @throws core::unavailable where the process lacks descriptors.
    wake_socket();

    /// @return what to poll for reading.
    [[nodiscard]] const Poco::Net::StreamSocket& socket() const { return this->polled; }

    /// Makes the socket readable until drain().
    void wake();

    /// Takes back all calls of wake() so far.
    void drain();

private:
    Poco::Net::StreamSocket polled;
};

} // namespace rattanmount::external
