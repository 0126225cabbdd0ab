#pragma once

#include <atomic>
#include <cstdint>

namespace rattanmount::telemetry {

/// A metric that only increases.
///
/// Owned by metrics_registry, which returns references that stay valid for its lifetime. Thread-safe.
class counter {
public:
    void add(std::uint64_t amount = 1) { this->total.fetch_add(amount, std::memory_order_relaxed); }

    /// @return the sum of all added amounts.
    [[nodiscard]] std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total{0};
};

} // namespace rattanmount::telemetry
