#pragma once

#include "core/time.h"
#include "external/traffic_counters.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>

namespace rattanmount::external {

/// A TCP socket with one deadline for all sends and receives of an exchange. Counts the bytes transferred.
///
/// Connect it, call begin(), then use it through a Poco stream socket, which owns it. A send returns only
/// after the kernel has accepted all bytes. Sends and receives throw Poco::TimeoutException at the deadline.
/// A send to a closed connection throws and never raises SIGPIPE, regardless of the thread's signal mask.
/// Not thread-safe.
class deadline_socket : public Poco::Net::StreamSocketImpl {
public:
    /// @param counters receive the byte counts; must outlive the socket.
    explicit deadline_socket(traffic_counters& counters);

    /// Starts a new exchange and resets sent() to 0.
    /// @param exchange_end the deadline for sends and receives.
    /// @param first_byte_end the deadline until the first byte is received, if earlier.
    void begin(core::steady_time exchange_end, core::steady_time first_byte_end = core::steady_time::max());

    /// @return the number of bytes that the kernel has accepted since begin().
    [[nodiscard]] std::uint64_t sent() const;

    /// Waits with a single poll() call; Poco's implementation creates an epoll instance for each wait.
    bool poll(const Poco::Timespan& timeout, int mode) override;

    int sendBytes(const void* buffer, int length, int flags) override;
    int receiveBytes(void* buffer, int length, int flags) override;

protected:
    ~deadline_socket() override = default;

private:
    void wait_for(int mode);

    traffic_counters& counters;
    core::steady_time deadline; ///< The one that applies now.
    core::steady_time end;      ///< The one that applies once a byte has been received.
    std::uint64_t sent_bytes = 0;
};

/// Returns the time until a deadline, at least 0, in the unit that Poco's calls take.
[[nodiscard]] std::chrono::microseconds time_left(core::steady_time end);

} // namespace rattanmount::external
