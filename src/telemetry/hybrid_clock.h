#pragma once

#include "core/hybrid_time.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>

namespace rattanmount::telemetry {

/// The options of a hybrid clock.
struct hybrid_clock_options {
    std::function<core::system_time()> system = [] { return std::chrono::system_clock::now(); };
    /// A remote timestamp further ahead of the local wall clock than this is ignored, so that one wrong clock
    /// does not advance the clocks of all hosts.
    core::milliseconds max_ahead = std::chrono::minutes{1};
};

/// A hybrid logical clock: it follows the wall clock, its timestamps always increase, and they are later than
/// every timestamp that it has accepted from another process.
///
/// Call now() for each event and each message sent, and observe() with the timestamp of each message
/// received. Owned by the entry host, one per process. Thread-safe.
class hybrid_clock {
public:
    /// @param options the options; the clock `system` may go back or stand still.
    explicit hybrid_clock(hybrid_clock_options options = {});

    /// @return a timestamp later than all that this clock has returned or accepted.
    [[nodiscard]] core::hybrid_time now();

    /// Makes all further timestamps of this clock later than one from another process.
    /// @param remote the timestamp of a received message.
    /// @return whether it was accepted; false if it is too far ahead.
    bool observe(core::hybrid_time remote);

private:
    [[nodiscard]] std::uint64_t wall_number() const;

    hybrid_clock_options options;
    /// As hybrid_time::number(); when the counter overflows, it carries into the milliseconds.
    std::atomic<std::uint64_t> last{0};
};

} // namespace rattanmount::telemetry
