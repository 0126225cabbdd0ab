#include "dispatch/order_window.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <string>

namespace rattanmount::dispatch {

namespace {

/// Growth of the window with each order that is answered without queueing.
constexpr double first_growth = 1;
constexpr double later_growth = 0.25;
constexpr double reduction = 0.5;
/// Shares of the orders of a round that reduce the window if they are exceeded.
constexpr double tolerated_losses = 0.125;
constexpr double tolerated_queueing = 0.5;
/// Weight of a new round trip in the usual one.
constexpr int smoothing_steps = 8;
constexpr core::milliseconds longest_timeout{560};

} // namespace

order_window::order_window(order_window_options options) : options(options), size(options.initial_size) {}

void order_window::answered(core::steady_time::duration taken, core::steady_time::duration shortest,
                            core::steady_time now) {
    const bool used = static_cast<double>(this->in_flight) * 2 >= this->size;
    this->finish();
    this->add_round_trip(taken);
    const bool queued = taken > shortest + this->options.queueing_target;
    if (used && !queued) {
        const auto growth = this->reduced ? later_growth : first_growth;
        this->size = std::min(this->size + growth, this->options.largest_size);
    }
    this->count_result(queued, false, now);
}

void order_window::failed(core::steady_time now) {
    this->finish();
    this->count_result(false, true, now);
}

void order_window::add_round_trip(core::steady_time::duration taken) {
    const auto usual = this->smoothed.value_or(taken);
    this->smoothed = usual + (taken - usual) / smoothing_steps;
}

core::milliseconds order_window::timeout(core::milliseconds shortest) const {
    return std::max(shortest, std::min(this->usual_round_trip() * 2, longest_timeout));
}

core::milliseconds order_window::usual_round_trip() const {
    return std::chrono::duration_cast<core::milliseconds>(
        this->smoothed.value_or(core::steady_time::duration{0}));
}

void order_window::finish() {
    this->in_flight -= this->in_flight > 0 ? 1 : 0;
}

void order_window::count_result(bool queued, bool lost, core::steady_time now) {
    this->results++;
    this->queued_results += queued ? 1 : 0;
    this->lost_results += lost ? 1 : 0;
    const bool reduces = static_cast<double>(this->lost_results) > this->size * tolerated_losses ||
                         static_cast<double>(this->queued_results) > this->size * tolerated_queueing;
    if (reduces && now >= this->reduced_at + this->options.reduction_interval) {
        this->reduce(now);
    }
    if (reduces || static_cast<double>(this->results) >= this->size) {
        this->results = 0;
        this->queued_results = 0;
        this->lost_results = 0;
    }
}

void order_window::reduce(core::steady_time now) {
    const auto before = this->limit();
    this->size = std::max(this->size * reduction, this->options.least_size);
    this->reduced = true;
    this->reduced_at = now;
    telemetry::log_state("fewer orders at a time",
                         {{"before", std::to_string(before)},
                          {"now", std::to_string(this->limit())},
                          {"in_flight", std::to_string(this->in_flight)},
                          {"lost", std::to_string(this->lost_results)},
                          {"queued", std::to_string(this->queued_results)},
                          {"usual_ms", std::to_string(this->usual_round_trip().count())}});
}

} // namespace rattanmount::dispatch
