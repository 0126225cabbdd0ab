#pragma once

#include <atomic>

namespace rattanmount::telemetry {

/// A number that goes up and down.
///
/// Owned by `counters`, which gives references that hold as long as it lives; any thread may call it.
class gauge {
public:
    /// @param value the value from now on.
    void set(double value) { this->current.store(value, std::memory_order_relaxed); }

    /// @param amount how much to add; may be negative.
    void add(double amount) { this->current.fetch_add(amount, std::memory_order_relaxed); }

    /// @return the value.
    [[nodiscard]] double value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current{0.0};
};

} // namespace rattanmount::telemetry
