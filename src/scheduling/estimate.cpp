#include "scheduling/estimate.h"

#include <algorithm>
#include <cmath>

namespace rattanmount::scheduling {

namespace {

/// Weight of the newest value in the moving averages.
constexpr double newest_weight = 0.1;
/// Weights of the newest value in a size ratio: it rises quickly and falls slowly.
constexpr double raise_weight = 0.5;
constexpr double lower_weight = 0.05;

void update_mean(double& mean, double& variance, double value, std::uint32_t count) {
    const double weight = std::max(newest_weight, 1.0 / static_cast<double>(count));
    const double error = value - mean;
    mean += weight * error;
    variance += std::max(newest_weight, 1.0 / static_cast<double>(count + 1)) * (error * error - variance);
}

double log_of(core::milliseconds time) {
    return std::log(static_cast<double>(std::max(time, core::milliseconds{1}).count()));
}

void update_ratio(double& ratio, std::int64_t declared, std::int64_t used) {
    if (declared <= 0) {
        return;
    }
    const double observed =
        std::clamp(static_cast<double>(used) / static_cast<double>(declared), 1.0, estimate::max_size_ratio);
    ratio += (observed > ratio ? raise_weight : lower_weight) * (observed - ratio);
}

std::int64_t scaled(std::int64_t declared, double ratio) {
    return std::max(declared, static_cast<std::int64_t>(std::llround(static_cast<double>(declared) * ratio)));
}

} // namespace

core::milliseconds estimate::run_time(core::milliseconds declared, core::milliseconds fallback) const {
    const auto to_milliseconds = [](double log_time) {
        constexpr double longest = 1e12;
        return core::milliseconds{std::llround(std::min(longest, std::exp(log_time)))};
    };
    const bool use_declared = declared.count() > 0;
    const bool ratio_known = use_declared && this->ratio_samples >= estimate::min_samples;
    const bool time_known = this->time_samples >= estimate::min_samples;
    if (ratio_known && (!time_known || this->log_ratio_variance <= this->log_time_variance)) {
        return to_milliseconds(log_of(declared) + this->log_ratio);
    }
    if (time_known) {
        return to_milliseconds(this->log_time);
    }
    return use_declared ? declared : fallback;
}

core::resources estimate::size(const core::resources& declared) const {
    if (this->size_samples < estimate::min_samples) {
        return declared;
    }
    return {.millicores = scaled(declared.millicores, this->processors_ratio),
            .memory_mb = scaled(declared.memory_mb, this->memory_ratio),
            .accelerators = declared.accelerators};
}

void estimate::learn_time(core::milliseconds declared_time, core::milliseconds run_time) {
    ++this->time_samples;
    update_mean(this->log_time, this->log_time_variance, log_of(run_time), this->time_samples);
    if (declared_time.count() <= 0) {
        return;
    }
    ++this->ratio_samples;
    update_mean(this->log_ratio, this->log_ratio_variance, log_of(run_time) - log_of(declared_time),
                this->ratio_samples);
}

void estimate::learn_size(const core::resources& declared, const core::resources& used) {
    if (used == core::resources{}) {
        return;
    }
    ++this->size_samples;
    update_ratio(this->processors_ratio, declared.millicores, used.millicores);
    update_ratio(this->memory_ratio, declared.memory_mb, used.memory_mb);
}

} // namespace rattanmount::scheduling
