#pragma once

#include "core/time.h"

#include <thrift/TProcessor.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace rattanmount::inner {

/// Knows how many calls a server is carrying out, from the first byte read to the last byte answered.
///
/// Owned by its server and its processor; any thread may call.
class call_tracker : public apache::thrift::TProcessorEventHandler {
public:
    void* getContext(const char* name, void* server_context) override;
    void freeContext(void* context, const char* name) override;

    /// Waits until no call has run for a while.
    /// @param quiet_time how long it has to be quiet.
    /// @param until when to give up.
    /// @return whether it became quiet.
    bool wait_quiet(core::milliseconds quiet_time, core::steady_time until);

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::uint32_t running = 0;
    core::steady_time last_change = std::chrono::steady_clock::now();
};

} // namespace rattanmount::inner
