#pragma once

#include "core/time.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace rattanmount::core {

/// Counts the requests that a server is carrying out, so that a shutdown can wait for their end.
///
/// Owned by a server; any thread may call.
class activity {
public:
    /// A request begins.
    void begin();

    /// A request ends, with its answer sent.
    void end();

    /// @return how many requests run.
    [[nodiscard]] std::uint32_t running();

    /// Waits until no request has begun, run or ended for a while.
    /// @param quiet_time how long it has to be quiet.
    /// @param until when to give up.
    /// @return whether it became quiet.
    bool wait_quiet(milliseconds quiet_time, steady_time until);

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::uint32_t count = 0;
    steady_time last_change = std::chrono::steady_clock::now();
};

} // namespace rattanmount::core
