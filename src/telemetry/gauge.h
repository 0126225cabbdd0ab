#pragma once

#include <atomic>

namespace rattanmount::telemetry {

/// A metric that goes up and down.
///
/// Owned by metrics_registry, which returns references that stay valid for its lifetime. Thread-safe.
class gauge {
public:
    void set(double value) { this->current.store(value, std::memory_order_relaxed); }

    /// @param amount the change; may be negative.
    void add(double amount) { this->current.fetch_add(amount, std::memory_order_relaxed); }

    [[nodiscard]] double value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current{0.0};
};

} // namespace rattanmount::telemetry
