#include "telemetry/distribution.h"

#include <cassert>
#include <utility>

namespace rattanmount::telemetry {

distribution::distribution(std::function<core::steady_time()> now)
    : now(std::move(now)), last_rotation(this->now()) {}

void distribution::record(std::chrono::nanoseconds duration) {
    assert(duration >= std::chrono::nanoseconds::zero());
    const distribution_summary::seconds seconds = duration;
    const std::lock_guard lock{this->mutex};
    this->rotate(this->now());
    ++this->count;
    this->sum += seconds;
    this->older.add(seconds.count());
    this->newer.add(seconds.count());
}

distribution_summary distribution::summary() const {
    using seconds = distribution_summary::seconds;
    const std::lock_guard lock{this->mutex};
    this->rotate(this->now());
    const auto recent = this->older.get();
    const auto divisor = static_cast<double>(this->count == 0 ? 1 : this->count);
    return {.count = this->count,
            .sum = this->sum,
            .mean = this->sum / divisor,
            .max = seconds{recent.max},
            .median = seconds{recent.median},
            .p90 = seconds{recent.p90},
            .p99 = seconds{recent.p99}};
}

void distribution::rotate(core::steady_time now) const {
    const auto elapsed = now - this->last_rotation;
    if (elapsed < rotation_interval) {
        return;
    }
    this->older = elapsed < 2 * rotation_interval ? std::move(this->newer) : quantile_estimate{};
    this->newer = quantile_estimate{};
    this->last_rotation = now;
}

} // namespace rattanmount::telemetry
