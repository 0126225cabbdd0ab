#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "inner/traffic_counters.h"

#include <thrift/transport/TSocket.h>

#include <cstdint>
#include <memory>

namespace rattanmount::inner {

/// A client socket with one deadline per call that covers connecting, sending and receiving.
///
/// Set the deadline before each call. Owned by a peer_connection; not thread-safe.
class deadline_socket : public apache::thrift::transport::TSocket {
public:
    /// @param peer the address to connect to.
    /// @param limits the message size limits.
    /// @param counters receive the byte and connection counts.
    deadline_socket(const core::endpoint& peer, std::shared_ptr<apache::thrift::TConfiguration> limits,
                    std::shared_ptr<traffic_counters> counters);

    /// Sets the time at which the next call fails with a timeout.
    void set_deadline(core::steady_time time);

    /// @return whether the peer has closed the idle connection or sent unsolicited bytes.
    [[nodiscard]] bool is_stale();

    /// Connects.
    /// @throws apache::thrift::transport::TTransportException if connecting fails or the deadline passes.
    void open() override;

    std::uint32_t read(std::uint8_t* buffer, std::uint32_t size) override;
    std::uint32_t write_partial(const std::uint8_t* buffer, std::uint32_t size) override;

private:
    /// @return milliseconds until the deadline, rounded up, at least 1.
    /// @throws TTransportException with TIMED_OUT if the deadline has passed.
    [[nodiscard]] int remaining() const;

    core::steady_time deadline;
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
