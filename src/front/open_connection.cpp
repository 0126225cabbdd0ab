#include "front/open_connection.h"

#include <sys/socket.h>
#include <unistd.h>

namespace rattanmount::front {

open_connection::open_connection(int socket) : descriptor(::dup(socket)) {}

open_connection::~open_connection() {
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

void open_connection::begin_request() {
    const std::lock_guard lock{this->mutex};
    this->waiting_since.reset();
}

void open_connection::end_request() {
    const std::lock_guard lock{this->mutex};
    this->waiting_since = std::chrono::steady_clock::now();
    this->has_answered_request = true;
}

std::optional<core::steady_time> open_connection::idle_since() const {
    const std::lock_guard lock{this->mutex};
    return this->ending ? std::nullopt : this->waiting_since;
}

bool open_connection::has_answered() const {
    const std::lock_guard lock{this->mutex};
    return this->has_answered_request;
}

void open_connection::stop_reading() {
    const std::lock_guard lock{this->mutex};
    this->ending = true;
    ::shutdown(this->descriptor, SHUT_RD);
}

void open_connection::abort() const {
    ::shutdown(this->descriptor, SHUT_RDWR);
}

} // namespace rattanmount::front
