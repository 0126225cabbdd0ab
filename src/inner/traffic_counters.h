#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::inner {

/// Traffic of the inner protocol since the process started, without TCP and IP headers.
///
/// Shared by a server, or by the clients of one host, and by readers such as metrics; thread-safe.
struct traffic_counters {
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> failed_calls{0}; ///< Calls that failed with any error.
    std::atomic<std::uint64_t> connections{0};  ///< Connections opened or accepted.
};

} // namespace rattanmount::inner
