#include "dispatch/leader_authority.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rattanmount::dispatch {

namespace {

constexpr core::milliseconds count_interval{50};
constexpr core::milliseconds outage_suspected_after{1000};
/// Share of the workers that fences a former leader. Larger than one half, because the lists of workers of
/// two hosts may differ a little.
constexpr double fencing_share = 0.6;

/// @return when the least recent of the most recent answers of more than half of the workers was asked for.
core::steady_time asked_majority_at(std::vector<core::steady_time> times) {
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end(), std::greater<>{});
    return *middle;
}

} // namespace

leader_authority::leader_authority(authority_options options) : options(options) {}

void leader_authority::begin(core::steady_time now) {
    this->leading_since = now;
    this->confirmed_by_log_at = now;
    this->confirmed_by_workers_at = {};
    this->predecessor_fenced_at.reset();
    this->counted_at = {};
}

void leader_authority::confirm_by_log(core::steady_time asked_at) {
    this->confirmed_by_log_at = std::max(this->confirmed_by_log_at, asked_at);
}

void leader_authority::count_answers(const std::map<core::worker_id, worker_state>& workers,
                                     core::steady_time now) {
    if (now < this->counted_at + count_interval) {
        return;
    }
    this->counted_at = now;
    std::vector<core::steady_time> times;
    std::size_t answered = 0;
    for (const auto& [id, worker] : workers) {
        if (worker.listed) {
            times.push_back(worker.has_answered ? worker.answered_hold_sent_at : core::steady_time{});
            answered += worker.has_answered ? 1 : 0;
        }
    }
    if (times.empty()) {
        return;
    }
    const auto all = times.size();
    this->confirmed_by_workers_at =
        std::max(this->confirmed_by_workers_at, asked_majority_at(std::move(times)));
    if (!this->predecessor_fenced_at &&
        static_cast<double>(answered) >= static_cast<double>(all) * fencing_share) {
        this->predecessor_fenced_at = now;
        telemetry::log_state("fencing token is known to most workers",
                             {{"answered", std::to_string(answered)}, {"workers", std::to_string(all)}});
    }
}

bool leader_authority::is_proven(core::steady_time now) const {
    if (now < this->confirmed_by_log_at + this->options.proof_lifetime) {
        return true;
    }
    return now < this->confirmed_by_log_at + this->options.longest_log_outage &&
           now < this->confirmed_by_workers_at + this->options.proof_lifetime;
}

bool leader_authority::suspects_log_outage(core::steady_time now) const {
    return now >= this->confirmed_by_log_at + outage_suspected_after;
}

core::steady_time leader_authority::inherited_leases_expire_at() const {
    const auto longest_lease =
        std::chrono::ceil<core::milliseconds>(this->options.lease_term / worker_clock::slowest_rate) +
        this->options.max_stop_duration + this->options.expiry_margin;
    if (this->predecessor_fenced_at) {
        return *this->predecessor_fenced_at + this->options.proof_lifetime + longest_lease;
    }
    return this->leading_since + this->options.longest_log_outage + longest_lease;
}

} // namespace rattanmount::dispatch
