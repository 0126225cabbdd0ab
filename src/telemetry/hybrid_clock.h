#pragma once

#include "core/hybrid_time.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>

namespace rattanmount::telemetry {

/// What a hybrid clock is made with.
struct hybrid_clock_options {
    std::function<core::system_time()> system = [] { return std::chrono::system_clock::now(); };
    /// A time further ahead than this of our own clock is not followed, so that one wrong clock does not
    /// carry all hosts along.
    core::milliseconds max_ahead = std::chrono::minutes{1};
};

/// A hybrid logical clock: it follows the calendar, never goes back or stands still, and is ahead of every
/// time that it was shown.
///
/// Call now() for each event and each message sent, observe() with the time of each message received. The
/// entry host owns one for the whole process; any thread may call it.
class hybrid_clock {
public:
    /// @param options its hooks; `system` may go back or stand still.
    explicit hybrid_clock(hybrid_clock_options options = {});

    /// @return a time later than all that this clock gave or followed.
    [[nodiscard]] core::hybrid_time now();

    /// Makes the following times of this clock later than one from another process.
    /// @param remote the time of a message that came in.
    /// @return whether it was followed; false where it is too far ahead.
    bool observe(core::hybrid_time remote);

private:
    [[nodiscard]] std::uint64_t wall_number() const;

    hybrid_clock_options options;
    std::atomic<std::uint64_t> last{0}; ///< As hybrid_time::number(); a full counter carries over.
};

} // namespace rattanmount::telemetry
