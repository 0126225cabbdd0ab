#include "inner/deadline_socket.h"

#include <poll.h>
#include <utility>

namespace rattanmount::inner {

using apache::thrift::transport::TTransportException;

deadline_socket::deadline_socket(const core::endpoint& peer,
                                 std::shared_ptr<apache::thrift::TConfiguration> limits,
                                 std::shared_ptr<traffic_counters> counters)
    : TSocket(peer.address, peer.port, std::move(limits)), counters(std::move(counters)) {
    this->setNoDelay(true);
    this->setLinger(false, 0);
}

void deadline_socket::set_deadline(core::steady_time time) {
    this->deadline = time;
}

bool deadline_socket::is_stale() {
    pollfd readable{.fd = this->getSocketFD(), .events = POLLIN, .revents = 0};
    return ::poll(&readable, 1, 0) != 0;
}

void deadline_socket::open() {
    this->setConnTimeout(this->remaining());
    this->TSocket::open();
    this->counters->connections++;
}

std::uint32_t deadline_socket::read(std::uint8_t* buffer, std::uint32_t size) {
    this->setRecvTimeout(this->remaining());
    const auto received = this->TSocket::read(buffer, size);
    this->counters->received_bytes += received;
    return received;
}

std::uint32_t deadline_socket::write_partial(const std::uint8_t* buffer, std::uint32_t size) {
    this->setSendTimeout(this->remaining());
    const auto sent = this->TSocket::write_partial(buffer, size);
    this->counters->sent_bytes += sent;
    return sent;
}

int deadline_socket::remaining() const {
    const auto left =
        std::chrono::ceil<core::milliseconds>(this->deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
        throw TTransportException(TTransportException::TIMED_OUT, "the call's time limit has passed");
    }
    return static_cast<int>(left.count());
}

} // namespace rattanmount::inner
