#include "front/deadline_socket_impl.h"

#include "front/timespan.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace rattanmount::front {

deadline_socket_impl::deadline_socket_impl(core::steady_time deadline) : deadline(deadline) {}

void deadline_socket_impl::connect_before_deadline(const Poco::Net::SocketAddress& address,
                                                   core::milliseconds limit) {
    this->connect(address, std::min(to_timespan(limit), this->remaining()));
    this->setNoDelay(true);
}

bool deadline_socket_impl::may_have_sent() const {
    return this->send_begun;
}

int deadline_socket_impl::sendBytes(const void* buffer, int length, int flags) {
    this->setSendTimeout(this->remaining());
    this->send_begun = true;
    return this->StreamSocketImpl::sendBytes(buffer, length, flags);
}

int deadline_socket_impl::receiveBytes(void* buffer, int length, int flags) {
    this->setReceiveTimeout(this->remaining());
    return this->StreamSocketImpl::receiveBytes(buffer, length, flags);
}

Poco::Timespan deadline_socket_impl::remaining() const {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(this->deadline -
                                                                            std::chrono::steady_clock::now());
    if (left < core::milliseconds{1}) {
        throw Poco::TimeoutException("the call timed out");
    }
    return Poco::Timespan{left.count()};
}

} // namespace rattanmount::front
