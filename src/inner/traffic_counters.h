#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::inner {

/// What the inner protocol has moved since the process started; without the headers of TCP and IP.
///
/// Shared by a server or the clients of one host and whoever reads it; any thread may read and count.
struct traffic_counters {
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> failed_calls{0}; ///< Calls that ended with an error of any kind.
    std::atomic<std::uint64_t> connections{0};  ///< Connections opened or accepted.
};

} // namespace rattanmount::inner
