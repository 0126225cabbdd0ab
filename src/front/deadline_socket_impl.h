#pragma once

#include "core/time.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

namespace rattanmount::front {

/// A TCP connection on which connecting, sending and receiving have one deadline together.
///
/// Owned by the Poco sockets that share it; one thread at a time.
class deadline_socket_impl : public Poco::Net::StreamSocketImpl {
public:
    /// @param deadline when every operation gives up with Poco::TimeoutException.
    explicit deadline_socket_impl(core::steady_time deadline);

    /// Connects before the deadline.
    /// @param address where to.
    /// @param limit how long it may take at most.
    void connect_before_deadline(const Poco::Net::SocketAddress& address, core::milliseconds limit);

    /// @return whether any byte may have been sent.
    [[nodiscard]] bool may_have_sent() const;

    int sendBytes(const void* buffer, int length, int flags) override;
    int receiveBytes(void* buffer, int length, int flags) override;

protected:
    ~deadline_socket_impl() override = default;

private:
    /// @throws Poco::TimeoutException where the deadline has passed.
    [[nodiscard]] Poco::Timespan remaining() const;

    core::steady_time deadline;
    bool send_begun = false;
};

} // namespace rattanmount::front
