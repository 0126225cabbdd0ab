#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace rattanmount::telemetry {

/// The estimated quantiles and the maximum.
struct quantiles {
    double median = 0.0;
    double p90 = 0.0;
    double p99 = 0.0;
    double max = 0.0;
};

/// Estimates quantiles in constant memory: exactly for the first values, then with the extended P² algorithm
/// of Boost.Accumulators.
///
/// Owned by a distribution, whose mutex guards it.
class quantile_estimate {
public:
    /// Up to this number of values, the quantiles are exact.
    static constexpr std::size_t exact_values = 100;

    quantile_estimate();
    ~quantile_estimate();
    quantile_estimate(const quantile_estimate&) = delete;
    quantile_estimate& operator=(const quantile_estimate&) = delete;
    quantile_estimate(quantile_estimate&& other) noexcept;
    quantile_estimate& operator=(quantile_estimate&& other) noexcept;

    /// @param value a value, 0 or more.
    void add(double value);

    /// @return the quantiles of all values so far; all 0 if there are none.
    [[nodiscard]] quantiles get() const;

private:
    struct accumulators;

    [[nodiscard]] quantiles exact_quantiles() const;

    std::unique_ptr<accumulators> state;
    std::vector<double> first_values; ///< At most `exact_values`.
};

} // namespace rattanmount::telemetry
