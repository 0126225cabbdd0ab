#pragma once

#include "inner/accepted_socket.h"
#include "inner/traffic_counters.h"

#include <thrift/transport/TServerSocket.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace rattanmount::inner {

/// The listening socket of an inner_server, which keeps track of the connections it has accepted.
///
/// Owned by its server. One thread accepts; the other members may be called from any thread.
class listener : public apache::thrift::transport::TServerSocket {
public:
    /// @param address the IP address to listen on.
    /// @param port the port; 0 selects a free one.
    /// @param limits the message size limits.
    /// @param counters receive the connection and byte counts.
    listener(const std::string& address, int port, std::shared_ptr<apache::thrift::TConfiguration> limits,
             std::shared_ptr<traffic_counters> counters);

    /// Calls a function for each connection that still exists.
    /// @param action must not block, because no connection can be accepted meanwhile.
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
