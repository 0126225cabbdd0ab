#include "telemetry/quantile_estimate.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace rattanmount::telemetry {

namespace {

namespace acc = boost::accumulators;

/// The probabilities that the algorithm tracks; those between the reported quantiles improve the accuracy.
constexpr std::array markers{0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
constexpr std::size_t median_marker = 1;
constexpr std::size_t p90_marker = 3;
constexpr std::size_t p99_marker = 5;

using accumulator_set =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::max, acc::tag::extended_p_square>>;

} // namespace

struct quantile_estimate::accumulators {
    accumulator_set set{acc::extended_p_square_probabilities = markers};
};

quantile_estimate::quantile_estimate() : state(std::make_unique<accumulators>()) {}

quantile_estimate::~quantile_estimate() = default;

quantile_estimate::quantile_estimate(quantile_estimate&& other) noexcept = default;

quantile_estimate& quantile_estimate::operator=(quantile_estimate&& other) noexcept = default;

void quantile_estimate::add(double value) {
    if (this->first_values.size() < exact_values) {
        this->first_values.push_back(value);
    }
    this->state->set(value);
}

quantiles quantile_estimate::get() const {
    const auto& set = this->state->set;
    if (acc::count(set) <= exact_values) {
        return this->exact_quantiles();
    }
    const double max = acc::max(set);
    const auto quantile = [&](std::size_t marker) {
        return std::clamp(acc::extended_p_square(set)[static_cast<std::ptrdiff_t>(marker)], 0.0, max);
    };
    return {.median = quantile(median_marker),
            .p90 = quantile(p90_marker),
            .p99 = quantile(p99_marker),
            .max = max};
}

quantiles quantile_estimate::exact_quantiles() const {
    if (this->first_values.empty()) {
        return {};
    }
    auto sorted = this->first_values;
    std::sort(sorted.begin(), sorted.end());
    const auto quantile = [&sorted](std::size_t marker) {
        const auto rank = std::ceil(markers.at(marker) * static_cast<double>(sorted.size()));
        return sorted.at(static_cast<std::size_t>(rank) - 1);
    };
    return {.median = quantile(median_marker),
            .p90 = quantile(p90_marker),
            .p99 = quantile(p99_marker),
            .max = sorted.back()};
}

} // namespace rattanmount::telemetry
