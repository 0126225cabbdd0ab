#include "dispatch/leader_authority.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace rattanmount::dispatch {

namespace {

constexpr core::milliseconds count_interval{50};
constexpr core::milliseconds outage_suspected_after{1000};
/// Share of the workers that fences a former leader. Larger than one half, because the roster may change
/// while leaders do.
constexpr double fencing_share = 0.6;

/// @return when the least recent of the most recent answers of more than half of the workers was asked for.
core::steady_time asked_majority_at(std::vector<core::steady_time> times) {
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end(), std::greater<>{});
    return *middle;
}

/// A worker that has restarted has forgotten the token of a later leader. Its answers prove only that none
/// has reached it since then, which says nothing if that leader began before.
/// @param led_at a time at which this host certainly led.
/// @return when the last answered hold of each worker that counts was sent; the earliest time for none and
/// for a worker that first answered after `led_at`.
std::vector<core::steady_time> hold_times(const std::map<core::worker_id, worker_state>& workers,
                                          const std::function<bool(const worker_state&)>& counts,
                                          core::steady_time led_at) {
    std::vector<core::steady_time> times;
    for (const auto& [id, worker] : workers) {
        if (counts(worker)) {
            const bool proves = worker.proven.knows_token && worker.proven.knows_token_since <= led_at;
            times.push_back(proves ? worker.answered_hold_sent_at : core::steady_time{});
        }
    }
    return times;
}

} // namespace

leader_authority::leader_authority(authority_options options) : options(options) {}

void leader_authority::begin(std::set<core::worker_id> roster, core::steady_time now,
                             std::map<core::worker_id, core::steady_time> unreached,
                             std::map<core::worker_id, core::steady_time> restarted) {
    this->inherited_roster = std::move(roster);
    this->inherited_unreached = std::move(unreached);
    this->inherited_restarted = std::move(restarted);
    this->leading_since = now;
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
    auto times = hold_times(
        workers, [](const worker_state& worker) { return worker.in_roster; }, this->confirmed_by_log_at);
    if (times.empty()) {
        times = hold_times(
            workers, [](const worker_state& worker) { return worker.listed; }, this->confirmed_by_log_at);
    }
    if (times.empty()) {
        return;
    }
    this->confirmed_by_workers_at =
        std::max(this->confirmed_by_workers_at, asked_majority_at(std::move(times)));
    if (!this->predecessor_fenced_at && this->knows_token_at_most_workers(workers)) {
        this->predecessor_fenced_at = now;
        const auto left = this->inherited_leases_expire_at() - now;
        telemetry::log_state(
            "fencing token is known to most workers",
            {{"roster", std::to_string(this->inherited_roster.size())},
             {"workers", std::to_string(workers.size())},
             {"inherited_leases_ms",
              std::to_string(std::chrono::duration_cast<core::milliseconds>(left).count())}});
    }
}

bool leader_authority::knows_token_at_most_workers(
    const std::map<core::worker_id, worker_state>& workers) const {
    std::size_t all = 0;
    std::size_t answered = 0;
    if (this->inherited_roster.empty()) {
        for (const auto& [id, worker] : workers) {
            all += worker.listed ? 1 : 0;
            answered += worker.listed && worker.proven.knows_token ? 1 : 0;
        }
    } else {
        all = this->inherited_roster.size();
        answered = static_cast<std::size_t>(std::count_if(
            this->inherited_roster.begin(), this->inherited_roster.end(), [&workers](const auto& id) {
                const auto place = workers.find(id);
                return place != workers.end() && place->second.proven.knows_token;
            }));
    }
    return static_cast<double>(answered) >= static_cast<double>(all) * fencing_share;
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

core::milliseconds leader_authority::longest_run(core::milliseconds term) const {
    return worker_clock::longest_local_time(term) + this->options.max_stop_duration +
           this->options.expiry_margin;
}

core::steady_time leader_authority::expire_at(core::milliseconds term) const {
    const auto longest = this->longest_run(term);
    const auto latest = this->leading_since + this->options.longest_log_outage + longest;
    if (this->predecessor_fenced_at) {
        // A token that becomes known late must not revive leases that have expired.
        return std::min(latest, *this->predecessor_fenced_at + this->options.proof_lifetime + longest);
    }
    return latest;
}

core::steady_time leader_authority::inherited_leases_expire_at() const {
    return this->expire_at(this->options.lease_term);
}

core::steady_time leader_authority::foreign_leases_expire_at() const {
    return this->expire_at(this->options.max_lease_term);
}

core::steady_time leader_authority::recorded_foreign_lease_expires_at(const core::worker_id& worker) const {
    const auto restarted = this->inherited_restarted.find(worker);
    return restarted == this->inherited_restarted.end()
               ? core::steady_time{}
               : restarted->second + this->longest_run(this->options.max_lease_term);
}

core::steady_time leader_authority::inherited_leases_expire_at(const core::worker_id& worker) const {
    auto latest = this->inherited_leases_expire_at();
    if (const auto known = this->inherited_unreached.find(worker); known != this->inherited_unreached.end()) {
        latest = std::min(latest, known->second + this->options.proof_lifetime +
                                      this->longest_run(this->options.lease_term));
    }
    return std::max(latest, this->recorded_foreign_lease_expires_at(worker));
}

} // namespace rattanmount::dispatch
