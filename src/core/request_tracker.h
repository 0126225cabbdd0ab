#pragma once

#include "core/time.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace rattanmount::core {

/// Counts the requests in flight on a server, so that a shutdown can wait until they have finished.
///
/// Owned by a server. Thread-safe.
class request_tracker {
public:
    /// Called when a request begins.
    void begin();

    /// Called when a request has ended and its answer has been sent.
    void end();

    /// @return the number of requests in flight.
    [[nodiscard]] std::uint32_t running();

    /// Blocks until no request has been in flight, begun or ended for a given time.
    /// @param idle_time how long the server must have been idle.
    /// @param deadline when to stop waiting.
    /// @return true if the server became idle, false if the deadline passed first.
    bool wait_until_idle(milliseconds idle_time, steady_time deadline);

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::uint32_t count = 0;
    steady_time last_change = std::chrono::steady_clock::now();
};

} // namespace rattanmount::core
