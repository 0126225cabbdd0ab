#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::telemetry {

/// A number that only grows.
///
/// Owned by `counters`, which gives references that hold as long as it lives; any thread may call it.
class counter {
public:
    /// @param amount how much to add.
    void add(std::uint64_t amount = 1) { this->total.fetch_add(amount, std::memory_order_relaxed); }

    /// @return the sum of all that was added.
    [[nodiscard]] std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total{0};
};

} // namespace rattanmount::telemetry
