#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::front {

/// Counters of an HTTP front end since its start.
///
/// Shared by the front end and its readers; any thread may read and increment.
struct front_counters {
    std::atomic<std::uint64_t> connections{0};     ///< Taken from a queue to be served or refused.
    std::atomic<std::uint64_t> requests{0};        ///< Answered with a status below 500.
    std::atomic<std::uint64_t> failed_requests{0}; ///< Answered with status 5xx.
    /// Received while all threads were busy: answered 503 without a call, except for the monitoring paths.
    std::atomic<std::uint64_t> overload_refusals{0};
    /// Closed unread, because the queue of connections to refuse was full.
    std::atomic<std::uint64_t> dropped_connections{0};
    std::atomic<std::uint64_t> received_bytes{0}; ///< Of request bodies.
    std::atomic<std::uint64_t> sent_bytes{0};     ///< Of response bodies.
};

} // namespace rattanmount::front
