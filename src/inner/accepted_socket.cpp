#include "inner/accepted_socket.h"

#include <sys/socket.h>
#include <utility>

namespace rattanmount::inner {

accepted_socket::accepted_socket(int socket, std::shared_ptr<apache::thrift::TConfiguration> limits,
                                 std::shared_ptr<traffic_counters> counters)
    : TSocket(socket, std::move(limits)), counters(std::move(counters)) {}

accepted_socket::~accepted_socket() {
    this->accepted_socket::close();
}

void accepted_socket::stop_reading() {
    this->shut_down(SHUT_RD);
}

void accepted_socket::abort() {
    this->shut_down(SHUT_RDWR);
}

void accepted_socket::close() {
    const std::lock_guard lock{this->mutex};
    this->TSocket::close();
}

std::uint32_t accepted_socket::read(std::uint8_t* buffer, std::uint32_t size) {
    const auto received = this->TSocket::read(buffer, size);
    this->counters->received_bytes += received;
    return received;
}

std::uint32_t accepted_socket::write_partial(const std::uint8_t* buffer, std::uint32_t size) {
    const auto sent = this->TSocket::write_partial(buffer, size);
    this->counters->sent_bytes += sent;
    return sent;
}

void accepted_socket::shut_down(int directions) {
    const std::lock_guard lock{this->mutex};
    if (this->isOpen()) {
        ::shutdown(this->getSocketFD(), directions);
    }
}

} // namespace rattanmount::inner
