#include "telemetry/distribution.h"

#include <cassert>
#include <utility>

namespace rattanmount::telemetry {

distribution::distribution(std::function<core::steady_time()> now)
    : now(std::move(now)), last_turn(this->now()) {}

void distribution::record(std::chrono::nanoseconds time) {
    assert(time >= std::chrono::nanoseconds::zero());
    const distribution_summary::seconds seconds = time;
    const std::lock_guard lock{this->mutex};
    this->turn(this->now());
    ++this->count;
    this->sum += seconds;
    this->older.add(seconds.count());
    this->newer.add(seconds.count());
}

distribution_summary distribution::summary() const {
    using seconds = distribution_summary::seconds;
    const std::lock_guard lock{this->mutex};
    this->turn(this->now());
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

void distribution::turn(core::steady_time now) const {
    const auto since = now - this->last_turn;
    if (since < turn_interval) {
        return;
    }
    this->older = since < 2 * turn_interval ? std::move(this->newer) : quantile_estimate{};
    this->newer = quantile_estimate{};
    this->last_turn = now;
}

} // namespace rattanmount::telemetry
