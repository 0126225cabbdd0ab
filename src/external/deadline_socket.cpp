#include "external/deadline_socket.h"

#include "external/nonblocking_send.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/Socket.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <string_view>

namespace rattanmount::external {

std::chrono::microseconds time_left(core::steady_time end) {
    const auto left =
        std::chrono::duration_cast<std::chrono::microseconds>(end - std::chrono::steady_clock::now());
    return std::max(left, std::chrono::microseconds{0});
}

deadline_socket::deadline_socket(traffic_counters& counters) : counters(counters) {}

void deadline_socket::begin(core::steady_time exchange_end, core::steady_time first_byte_end) {
    this->end = exchange_end;
    this->deadline = std::min(exchange_end, first_byte_end);
    this->sent_bytes = 0;
}

std::uint64_t deadline_socket::sent() const {
    return this->sent_bytes;
}

bool deadline_socket::poll(const Poco::Timespan& timeout, int mode) {
    const bool reads = (mode & Poco::Net::Socket::SELECT_READ) != 0;
    const bool writes = (mode & Poco::Net::Socket::SELECT_WRITE) != 0;
    const auto events = (reads ? POLLIN : 0) | (writes ? POLLOUT : 0);
    pollfd waited{.fd = this->sockfd(), .events = static_cast<short>(events), .revents = 0};
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::microseconds{timeout.totalMicroseconds()};
    while (true) {
        const auto left = std::chrono::ceil<core::milliseconds>(until - std::chrono::steady_clock::now());
        const int ready = ::poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
        if (ready >= 0) {
            return ready > 0;
        }
        if (errno != EINTR) {
            throw Poco::Net::NetException("poll failed");
        }
    }
}

int deadline_socket::sendBytes(const void* buffer, int length, int /*flags*/) {
    std::string_view left{static_cast<const char*>(buffer), static_cast<std::size_t>(length)};
    while (!left.empty()) {
        const auto taken = send_available(this->sockfd(), left);
        if (taken == 0) {
            this->wait_for(Poco::Net::Socket::SELECT_WRITE);
        }
        left.remove_prefix(taken);
        this->sent_bytes += taken;
        this->counters.bytes_sent += taken;
    }
    return length;
}

int deadline_socket::receiveBytes(void* buffer, int length, int flags) {
    while (true) {
        this->wait_for(Poco::Net::Socket::SELECT_READ);
        const int taken = SocketImpl::receiveBytes(buffer, length, flags);
        if (taken >= 0) {
            this->deadline = this->end;
            this->counters.bytes_received += static_cast<std::uint64_t>(taken);
            return taken;
        }
    }
}

void deadline_socket::wait_for(int mode) {
    // poll() takes whole milliseconds. Rounded up, so that no call times out before its deadline.
    const std::chrono::microseconds left = std::chrono::ceil<core::milliseconds>(time_left(this->deadline));
    if (left.count() == 0 || !this->poll(Poco::Timespan{left.count()}, mode)) {
        throw Poco::TimeoutException("no answer within the time limit");
    }
}

} // namespace rattanmount::external
