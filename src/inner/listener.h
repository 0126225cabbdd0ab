#pragma once

#include "inner/accepted_socket.h"
#include "inner/traffic_counters.h"

#include <thrift/transport/TServerSocket.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace rattanmount::inner {

/// The listening socket of an inner server, which knows the connections that it has accepted.
///
/// Owned by its server. One thread accepts; the other members may be called by any thread.
class listener : public apache::thrift::transport::TServerSocket {
public:
    /// @param address an IP number.
    /// @param port the port; 0 takes a free one.
    /// @param limits bounds of the sizes of messages.
    /// @param counters where connections and bytes are counted.
    listener(const std::string& address, int port, std::shared_ptr<apache::thrift::TConfiguration> limits,
             std::shared_ptr<traffic_counters> counters);

    /// @param action what to do to each connection that is still open.
    void for_each_connection(const std::function<void(accepted_socket&)>& action);

protected:
    std::shared_ptr<apache::thrift::transport::TSocket> createSocket(THRIFT_SOCKET socket) override;

private:
    std::shared_ptr<apache::thrift::TConfiguration> limits;
    std::shared_ptr<traffic_counters> counters;
    std::mutex mutex;
    std::vector<std::weak_ptr<accepted_socket>> accepted;
};

} // namespace rattanmount::inner
