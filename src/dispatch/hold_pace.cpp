#include "dispatch/hold_pace.h"

#include <algorithm>
#include <chrono>

namespace rattanmount::dispatch {

namespace {

constexpr core::milliseconds shortest_round{25};
constexpr core::milliseconds longest_round{100};
/// Time until the next check when no hold may be sent.
constexpr core::milliseconds check_interval{5};

} // namespace

void hold_pace::advance(std::size_t per_round, core::milliseconds round_trip, core::steady_time now) {
    const auto most = static_cast<double>(per_round);
    const std::chrono::duration<double> elapsed = now - this->advanced_at;
    const std::chrono::duration<double> round = std::clamp(round_trip, shortest_round, longest_round);
    this->allowed = std::min(this->allowed + elapsed / round * most, most);
    this->advanced_at = now;
}

bool hold_pace::take() {
    if (this->allowed < 1) {
        return false;
    }
    this->allowed -= 1;
    return true;
}

core::steady_time hold_pace::available_at(core::steady_time now) const {
    return this->allowed >= 1 ? now : now + check_interval;
}

} // namespace rattanmount::dispatch
