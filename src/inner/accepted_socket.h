#pragma once

#include "inner/traffic_counters.h"

#include <thrift/transport/TSocket.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace rattanmount::inner {

/// The server's end of a connection: counts bytes, and can be told to take no more requests.
///
/// Owned by the thread that serves it; stop_reading() and abort() may be called by any thread.
class accepted_socket : public apache::thrift::transport::TSocket {
public:
    /// @param socket a connected descriptor, owned from here on.
    /// @param limits bounds of the sizes of messages.
    /// @param counters where bytes are counted.
    accepted_socket(int socket, std::shared_ptr<apache::thrift::TConfiguration> limits,
                    std::shared_ptr<traffic_counters> counters);
    ~accepted_socket() override;

    accepted_socket(const accepted_socket&) = delete;
    accepted_socket& operator=(const accepted_socket&) = delete;

    /// Ends the wait for the next request. What was received whole is still served and answered.
    void stop_reading();

    /// Ends all waits on the connection, also for answers that are being sent.
    void abort();

    void close() override;
    std::uint32_t read(std::uint8_t* buffer, std::uint32_t size) override;
    std::uint32_t write_partial(const std::uint8_t* buffer, std::uint32_t size) override;

private:
    void shut_down(int directions);

    std::mutex mutex; ///< Guards the descriptor between close() and the calls of other threads.
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
