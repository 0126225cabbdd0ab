#pragma once

#include "core/time.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

namespace rattanmount::front {

/// A TCP socket with one deadline for connecting, sending and receiving together.
///
/// Owned by the Poco sockets that share it; used by one thread at a time.
class deadline_socket_impl : public Poco::Net::StreamSocketImpl {
public:
    /// @param deadline after it, every operation throws Poco::TimeoutException.
    explicit deadline_socket_impl(core::steady_time deadline);

    /// Connects before the deadline.
    /// @param limit the longest time for connecting, if the deadline is not earlier.
    void connect_before_deadline(const Poco::Net::SocketAddress& address, core::milliseconds limit);

    /// @return whether any byte may have been sent.
    [[nodiscard]] bool may_have_sent() const;

    int sendBytes(const void* buffer, int length, int flags) override;
    int receiveBytes(void* buffer, int length, int flags) override;

protected:
    ~deadline_socket_impl() override = default;

private:
    /// @return the time until the deadline.
    /// @throws Poco::TimeoutException if less than 1 ms remains.
    [[nodiscard]] Poco::Timespan remaining() const;

    core::steady_time deadline;
    bool send_begun = false;
};

} // namespace rattanmount::front
