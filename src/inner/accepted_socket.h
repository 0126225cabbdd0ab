#pragma once

#include "inner/traffic_counters.h"

#include <thrift/transport/TSocket.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace rattanmount::inner {

/// The server's end of a connection. Counts bytes and supports a graceful and an immediate shutdown.
///
/// Owned by the thread that serves the connection; stop_reading() and abort() may be called from any thread.
class accepted_socket : public apache::thrift::transport::TSocket {
public:
    /// @param socket a connected descriptor, which this object takes over.
    /// @param limits the message size limits.
    /// @param counters receive the byte counts.
    accepted_socket(int socket, std::shared_ptr<apache::thrift::TConfiguration> limits,
                    std::shared_ptr<traffic_counters> counters);
    ~accepted_socket() override;

    accepted_socket(const accepted_socket&) = delete;
    accepted_socket& operator=(const accepted_socket&) = delete;

    /// Shuts down the receiving direction, which ends the wait for the next request. A request that has been
    /// received completely is still served and answered.
    void stop_reading();

    /// Shuts down both directions, which also interrupts an answer that is being sent.
    void abort();

    void close() override;
    std::uint32_t read(std::uint8_t* buffer, std::uint32_t size) override;
    std::uint32_t write_partial(const std::uint8_t* buffer, std::uint32_t size) override;

private:
    void shut_down(int directions);

    std::mutex mutex; ///< Keeps close() from releasing the descriptor while another thread uses it.
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
