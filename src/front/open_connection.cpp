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
    this->set_idle(false);
}

void open_connection::end_request() {
    this->set_idle(true);
}

bool open_connection::idle() const {
    const std::lock_guard lock{this->mutex};
    return this->waiting;
}

core::steady_time open_connection::since() const {
    const std::lock_guard lock{this->mutex};
    return this->changed;
}

void open_connection::stop_reading() const {
    ::shutdown(this->descriptor, SHUT_RD);
}

void open_connection::abort() const {
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void open_connection::set_idle(bool value) {
    const std::lock_guard lock{this->mutex};
    this->waiting = value;
    this->changed = std::chrono::steady_clock::now();
}

} // namespace rattanmount::front
