#pragma once

#include <cstdint>
#include <string>

namespace rattanmount::core {

/// Amounts of processor time, memory and accelerators that a worker provides or a task requests.
///
/// A value type. Compare with fits_in(); there is no total order.
struct resources {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources&, const resources&) = default;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }
    friend resources operator*(resources amount, std::int64_t count);

    /// @return whether each of the three amounts is at most the available one.
    [[nodiscard]] bool fits_in(const resources& available) const;

    /// @return whether no amount is negative.
    [[nodiscard]] bool valid() const;

    /// @return the name of the first resource that exceeds the available amount, for example "memory"; empty
    ///         if all fit.
    [[nodiscard]] std::string first_excess(const resources& available) const;

    /// Returns the dominant share, for dominant resource fairness: the largest of the three shares.
    /// @param total the amounts to divide by; a resource whose total is 0 is ignored.
    /// @return the share, 0 or more.
    [[nodiscard]] double dominant_share(const resources& total) const;

    /// @return for example "1500m 2048MB 1acc".
    [[nodiscard]] std::string text() const;
};

} // namespace rattanmount::core
