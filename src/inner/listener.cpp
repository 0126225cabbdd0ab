#include "inner/listener.h"

#include <utility>

namespace rattanmount::inner {

listener::listener(const std::string& address, int port,
                   std::shared_ptr<apache::thrift::TConfiguration> limits,
                   std::shared_ptr<traffic_counters> counters)
    : TServerSocket(address, port), limits(std::move(limits)), counters(std::move(counters)) {
    this->setInterruptableChildren(false);
    this->setKeepAlive(true);
}

void listener::for_each_connection(const std::function<void(accepted_socket&)>& action) {
    const std::lock_guard lock{this->mutex};
    for (const auto& entry : this->accepted) {
        if (const auto connection = entry.lock()) {
            action(*connection);
        }
    }
}

std::shared_ptr<apache::thrift::transport::TSocket> listener::createSocket(THRIFT_SOCKET socket) {
    auto connection = std::make_shared<accepted_socket>(socket, this->limits, this->counters);
    this->counters->connections++;
    const std::lock_guard lock{this->mutex};
    std::erase_if(this->accepted, [](const auto& entry) { return entry.expired(); });
    this->accepted.push_back(connection);
    return connection;
}

} // namespace rattanmount::inner
