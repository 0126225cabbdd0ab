#include "telemetry/hybrid_clock.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rattanmount::telemetry {

hybrid_clock::hybrid_clock(hybrid_clock_options options) : options(std::move(options)) {
    assert(this->options.system);
    assert(this->options.max_ahead >= core::milliseconds::zero());
}

core::hybrid_time hybrid_clock::now() {
    const auto wall = this->wall_number();
    auto before = this->last.load(std::memory_order_relaxed);
    auto next = std::max(before + 1, wall);
    while (!this->last.compare_exchange_weak(before, next)) {
        next = std::max(before + 1, wall);
    }
    return core::hybrid_time::from_number(next);
}

bool hybrid_clock::observe(core::hybrid_time remote) {
    if (remote.wall > this->options.system() + this->options.max_ahead) {
        return false;
    }
    const auto observed = remote.number();
    auto before = this->last.load(std::memory_order_relaxed);
    while (before < observed && !this->last.compare_exchange_weak(before, observed)) {
    }
    return true;
}

std::uint64_t hybrid_clock::wall_number() const {
    const auto wall = std::chrono::floor<core::milliseconds>(this->options.system());
    return core::hybrid_time{.wall = wall}.number();
}

} // namespace rattanmount::telemetry
