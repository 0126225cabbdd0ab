#pragma once

#include <cstddef>
#include <vector>

namespace rattanmount::dispatch {

/// The median of the last values of a series.
///
/// A value type.
class moving_median {
public:
    /// @param window the number of last values that count.
    explicit moving_median(std::size_t window) : window(window) {}

    /// Adds a value; the oldest one no longer counts if there are more than the window holds.
    void add(double value);

    /// @return the number of values that count.
    [[nodiscard]] std::size_t size() const { return this->values.size(); }

    /// @return the median, the lower one of two; 0 if there are no values.
    [[nodiscard]] double value() const { return this->median; }

private:
    std::size_t window;
    std::size_t next = 0; ///< Index of the oldest value once the window is full.
    std::vector<double> values;
    double median = 0;
};

/// @param values some values.
/// @return their median, the lower one of two; 0 if there are none.
[[nodiscard]] double median_of(std::vector<double> values);

} // namespace rattanmount::dispatch
