#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "inner/traffic_counters.h"

#include <thrift/transport/TSocket.h>

#include <cstdint>
#include <memory>

namespace rattanmount::inner {

/// A connection to a peer on which every call has one deadline for connecting, sending and receiving.
///
/// Set the deadline before each call. Owned by one connection; one thread at a time.
class deadline_socket : public apache::thrift::transport::TSocket {
public:
    /// @param peer where to connect.
    /// @param limits bounds of the sizes of messages.
    /// @param counters where bytes are counted.
    deadline_socket(const core::endpoint& peer, std::shared_ptr<apache::thrift::TConfiguration> limits,
                    std::shared_ptr<traffic_counters> counters);

    /// @param time when the call that follows ends, answered or not.
    void set_deadline(core::steady_time time);

    /// @return whether the peer has closed the idle connection or sent something that nobody asked for.
    [[nodiscard]] bool stale();

    /// Connects.
    /// @throws apache::thrift::transport::TTransportException where it fails or the deadline passes.
    void open() override;

    std::uint32_t read(std::uint8_t* buffer, std::uint32_t size) override;
    std::uint32_t write_partial(const std::uint8_t* buffer, std::uint32_t size) override;

private:
    /// @return whole milliseconds to the deadline, at least 1.
    /// @throws TTransportException TIMED_OUT where the deadline has passed.
    [[nodiscard]] int remaining() const;

    core::steady_time deadline;
    std::shared_ptr<traffic_counters> counters;
};

} // namespace rattanmount::inner
