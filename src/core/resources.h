#pragma once

#include <cstdint>
#include <string>

namespace rattanmount::core {

/// An amount of the three things that a worker has and a task takes.
///
/// A value type. Amounts may be compared by fits_in(); they have no total order.
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

    /// @param room what is free.
    /// @return whether this amount is at most the room in each of the three.
    [[nodiscard]] bool fits_in(const resources& room) const;

    /// @return whether no amount is negative.
    [[nodiscard]] bool valid() const;

    /// @param room what is free.
    /// @return the name of the first amount that does not fit, or "" where all fit.
    [[nodiscard]] std::string first_excess(const resources& room) const;

    /// The share of the scarcest amount, for dominant resource fairness.
    /// @param total the whole; an amount of 0 in it is left out.
    /// @return the largest quotient of an amount here and in total, 0 or more.
    [[nodiscard]] double dominant_share(const resources& total) const;

    /// @return for example "1500m 2048MB 1acc".
    [[nodiscard]] std::string text() const;
};

} // namespace rattanmount::core
