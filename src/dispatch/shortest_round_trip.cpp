#include "dispatch/shortest_round_trip.h"

#include <algorithm>

namespace rattanmount::dispatch {

namespace {

constexpr core::milliseconds period{5000};

} // namespace

void shortest_round_trip::add(core::steady_time::duration taken, core::steady_time now) {
    if (now >= this->period_began_at + period) {
        this->former = this->current;
        this->current.reset();
        this->period_began_at = now;
    }
    this->current = std::min(this->current.value_or(taken), taken);
}

core::steady_time::duration shortest_round_trip::value() const {
    const auto latest = this->current.value_or(core::steady_time::duration{0});
    return this->former ? std::min(*this->former, latest) : latest;
}

} // namespace rattanmount::dispatch
