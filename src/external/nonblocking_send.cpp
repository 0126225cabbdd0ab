#include "external/nonblocking_send.h"

#include <Poco/Net/NetException.h>

#include <cerrno>
#include <sys/socket.h>
#include <system_error>

namespace rattanmount::external {

std::size_t send_available(int socket, std::string_view bytes) {
    while (true) {
        const auto taken = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (taken >= 0) {
            return static_cast<std::size_t>(taken);
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return 0;
        }
        if (errno != EINTR) {
            throw Poco::Net::NetException("send failed", std::system_category().message(errno));
        }
    }
}

} // namespace rattanmount::external
