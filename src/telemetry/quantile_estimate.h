#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace rattanmount::telemetry {

/// The quantiles that are estimated.
struct quantiles {
    double median = 0.0;
    double p90 = 0.0;
    double p99 = 0.0;
    double max = 0.0;
};

/// Estimates quantiles of values in constant memory: exact for the first few, then by the extended P²
/// algorithm of Boost.Accumulators.
///
/// Owned by a distribution, whose lock guards it.
class quantile_estimate {
public:
    /// So many values are kept as they are.
    static constexpr std::size_t exact_values = 100;

    quantile_estimate();
    ~quantile_estimate();
    quantile_estimate(quantile_estimate&& other) noexcept;
    quantile_estimate& operator=(quantile_estimate&& other) noexcept;

    /// @param value a value, 0 or more.
    void add(double value);

    /// @return what is known of the values; all 0 where there are none.
    [[nodiscard]] quantiles get() const;

private:
    struct accumulators;

    [[nodiscard]] quantiles exact() const;

    std::unique_ptr<accumulators> state;
    std::vector<double> first;
};

} // namespace rattanmount::telemetry
