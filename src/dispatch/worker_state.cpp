#include "dispatch/worker_state.h"

#include <cmath>

namespace rattanmount::dispatch {

namespace {

/// Time in which the weight of an event halves.
constexpr core::milliseconds half_life{4000};
/// Fewer failures are no evidence against the worker, because some tasks fail for reasons of their own.
constexpr double least_suspicious_failures = 1.6;

} // namespace

void worker_clock::add_reading(worker_time reading, core::steady_time now) {
    if (this->taken_at && reading <= this->reading) {
        return; // A late answer with an older reading.
    }
    this->reading = reading;
    this->taken_at = now;
}

worker_time worker_clock::estimate_at(core::steady_time now) const {
    if (!this->taken_at) {
        return worker_time{0};
    }
    return this->reading + std::chrono::duration_cast<worker_time>(now - *this->taken_at);
}

worker_time worker_clock::lowest_at(core::steady_time time) const {
    constexpr worker_time rounding{2};
    if (!this->taken_at) {
        return worker_time{0};
    }
    const std::chrono::duration<double, worker_time::period> since = time - *this->taken_at;
    const auto shown = since.count() >= 0 ? since * slowest_rate : since / slowest_rate;
    return this->reading + std::chrono::duration_cast<worker_time>(shown) - rounding;
}

core::steady_time worker_clock::latest_local_time(worker_time time) const {
    const auto left = static_cast<double>((time - this->reading).count()) / slowest_rate;
    return this->taken_at.value_or(core::steady_time{}) + worker_time{static_cast<std::int64_t>(left) + 1};
}

void decaying_counter::add(core::steady_time now) {
    this->weight = this->value_at(now) + 1;
    this->changed_at = now;
}

double decaying_counter::value_at(core::steady_time now) const {
    if (this->weight == 0) {
        return 0;
    }
    const auto halves =
        std::chrono::duration<double>(now - this->changed_at) / std::chrono::duration<double>(half_life);
    return this->weight * std::exp2(-halves);
}

bool worker_state::seems_faulty(core::steady_time now) const {
    const auto failed = this->failures.value_at(now);
    return failed >= least_suspicious_failures && failed > this->successes.value_at(now);
}

} // namespace rattanmount::dispatch
