#include "scheduling/holding.h"

#include <algorithm>

namespace rattanmount::scheduling {

namespace {

constexpr core::milliseconds shortest_expectation{1};

} // namespace

bool holding::straggler(core::steady_time now, double straggler_factor) const {
    if (this->expected_time == core::milliseconds::max()) {
        return false;
    }
    const std::chrono::duration<double, std::milli> ran = now - this->since;
    const auto expected = std::max(this->expected_time, shortest_expectation);
    return ran.count() >= straggler_factor * static_cast<double>(expected.count());
}

std::optional<core::steady_time> holding::expected_end(core::steady_time now, double straggler_factor) const {
    if (this->expected_time == core::milliseconds::max() || this->straggler(now, straggler_factor)) {
        return std::nullopt;
    }
    auto time = std::max(this->expected_time, shortest_expectation);
    while (this->since + time <= now) {
        time *= 2;
    }
    return this->since + time;
}

} // namespace rattanmount::scheduling
