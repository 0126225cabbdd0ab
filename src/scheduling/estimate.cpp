#include "scheduling/estimate.h"

#include <algorithm>
#include <cmath>

namespace rattanmount::scheduling {

namespace {

/// Weight of the newest value in a mean.
constexpr double newest = 0.1;
/// A high use raises the size fast and a low one lowers it slowly.
constexpr double raise = 0.5;
constexpr double lower = 0.05;

void average(double& mean, double& variance, double value, std::uint32_t count) {
    const double weight = std::max(newest, 1.0 / static_cast<double>(count));
    const double off = value - mean;
    mean += weight * off;
    variance += std::max(newest, 1.0 / static_cast<double>(count + 1)) * (off * off - variance);
}

double log_of(core::milliseconds time) {
    return std::log(static_cast<double>(std::max(time, core::milliseconds{1}).count()));
}

void follow(double& ratio, std::int64_t declared, std::int64_t used) {
    if (declared <= 0) {
        return;
    }
    const double seen =
        std::clamp(static_cast<double>(used) / static_cast<double>(declared), 1.0, estimate::max_size_ratio);
    ratio += (seen > ratio ? raise : lower) * (seen - ratio);
}

std::int64_t scaled(std::int64_t declared, double ratio) {
    return std::max(declared, static_cast<std::int64_t>(std::llround(static_cast<double>(declared) * ratio)));
}

} // namespace

core::milliseconds estimate::run_time(core::milliseconds declared, core::milliseconds otherwise) const {
    const auto whole = [](double log_time) {
        constexpr double longest = 1e12;
        return core::milliseconds{std::llround(std::min(longest, std::exp(log_time)))};
    };
    const bool use_declared = declared.count() > 0;
    const bool ratio_known = use_declared && this->declared_times >= estimate::enough;
    const bool time_known = this->finished >= estimate::enough;
    if (ratio_known && (!time_known || this->log_ratio_variance <= this->log_time_variance)) {
        return whole(log_of(declared) + this->log_ratio);
    }
    if (time_known) {
        return whole(this->log_time);
    }
    return use_declared ? declared : otherwise;
}

core::resources estimate::size(const core::resources& declared) const {
    if (this->sizes < estimate::enough) {
        return declared;
    }
    return {.millicores = scaled(declared.millicores, this->processors_ratio),
            .memory_mb = scaled(declared.memory_mb, this->memory_ratio),
            .accelerators = declared.accelerators};
}

void estimate::learn_time(core::milliseconds declared_time, core::milliseconds ran) {
    ++this->finished;
    average(this->log_time, this->log_time_variance, log_of(ran), this->finished);
    if (declared_time.count() <= 0) {
        return;
    }
    ++this->declared_times;
    average(this->log_ratio, this->log_ratio_variance, log_of(ran) - log_of(declared_time),
            this->declared_times);
}

void estimate::learn_size(const core::resources& declared, const core::resources& used) {
    if (used == core::resources{}) {
        return;
    }
    ++this->sizes;
    follow(this->processors_ratio, declared.millicores, used.millicores);
    follow(this->memory_ratio, declared.memory_mb, used.memory_mb);
}

} // namespace rattanmount::scheduling
