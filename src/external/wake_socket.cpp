#include "external/wake_socket.h"

#include "core/errors.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace rattanmount::external {

namespace {

/// Wraps an eventfd in a Poco socket, so that Poco can poll and close it.
Poco::Net::StreamSocket make_event_socket() {
    const int descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (descriptor < 0) {
        throw core::unavailable("cannot create an eventfd to wake a thread");
    }
    class event_impl : public Poco::Net::StreamSocketImpl {
    public:
        explicit event_impl(int descriptor) : StreamSocketImpl(descriptor) {}
    };
    class event_socket : public Poco::Net::StreamSocket {
    public:
        explicit event_socket(int descriptor) : StreamSocket(new event_impl(descriptor)) {}
    };
    return event_socket{descriptor};
}

} // namespace

wake_socket::wake_socket() : polled(make_event_socket()) {}

void wake_socket::wake() {
    const std::uint64_t one = 1;
    while (::write(this->polled.impl()->sockfd(), &one, sizeof one) < 0 && errno == EINTR) {
    }
}

void wake_socket::drain() {
    std::uint64_t count = 0;
    while (::read(this->polled.impl()->sockfd(), &count, sizeof count) < 0 && errno == EINTR) {
    }
}

} // namespace rattanmount::external
