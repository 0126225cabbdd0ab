#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::external {

/// Traffic of one client in bytes of HTTP: headers and bodies, without TCP/IP.
///
/// Owned by the client that counts; thread-safe.
struct traffic_counters {
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> failures{0};    ///< Calls without a complete answer of their own.
    std::atomic<std::uint64_t> connections{0}; ///< Connections opened.
};

} // namespace rattanmount::external
