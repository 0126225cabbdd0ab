#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::front {

/// What the HTTP front end has done since the process started.
///
/// Shared by a front end and whoever reads it; any thread may read and count.
struct front_counters {
    std::atomic<std::uint64_t> connections{0};         ///< Taken to be served.
    std::atomic<std::uint64_t> requests{0};            ///< Answered with a status other than 5xx.
    std::atomic<std::uint64_t> failed_requests{0};     ///< Answered with a status 5xx.
    std::atomic<std::uint64_t> overload_refusals{0};   ///< Answered 503 without a call, for lack of threads.
    std::atomic<std::uint64_t> dropped_connections{0}; ///< Closed unread, since even refusals were too many.
    std::atomic<std::uint64_t> received_bytes{0};      ///< Of request bodies.
    std::atomic<std::uint64_t> sent_bytes{0};          ///< Of answer bodies.
};

} // namespace rattanmount::front
