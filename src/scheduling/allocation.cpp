#include "scheduling/allocation.h"

#include <algorithm>

namespace rattanmount::scheduling {

namespace {

constexpr core::milliseconds min_expected_time{1};

} // namespace

bool allocation::is_straggler(core::steady_time now, double straggler_factor) const {
    if (this->estimated_run_time == core::milliseconds::max()) {
        return false;
    }
    const std::chrono::duration<double, std::milli> elapsed = now - this->since;
    const auto expected = std::max(this->estimated_run_time, min_expected_time);
    return elapsed.count() >= straggler_factor * static_cast<double>(expected.count());
}

std::optional<core::steady_time> allocation::estimated_end(core::steady_time now,
                                                           double straggler_factor) const {
    if (this->estimated_run_time == core::milliseconds::max() || this->is_straggler(now, straggler_factor)) {
        return std::nullopt;
    }
    auto time = std::max(this->estimated_run_time, min_expected_time);
    while (this->since + time <= now) {
        time *= 2;
    }
    return this->since + time;
}

} // namespace rattanmount::scheduling
