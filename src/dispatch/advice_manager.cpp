#include "dispatch/advice_manager.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <cmath>

namespace rattanmount::dispatch {

namespace {

constexpr double first_allowed_share = 0.4; ///< Assumed before the first answer.
constexpr double least_allowed_share = 0.1;
constexpr double share_smoothing = 0.1;   ///< Weight of a new answer.
constexpr std::size_t most_workers = 100; ///< Per request.
/// A request names more workers than tasks need a place, because one more worker costs far less than another
/// request.
constexpr double spare_share = 1.6;
constexpr double spare_tasks = 1;
constexpr core::milliseconds call_margin{600}; ///< Added to the response time that the service states.
/// A request is long if it is expected to take more time than this.
constexpr core::milliseconds long_request_threshold{200};
/// One in this many requests, and at least one, is reserved for short requests.
constexpr std::uint32_t requests_per_reserved_one = 4;
/// Delay before the next search for candidates if none was found or none is needed.
constexpr core::milliseconds no_candidate_pause{50};

/// @return whether a request with this timeout is a long one.
bool takes_long(core::milliseconds timeout) {
    return timeout - call_margin > long_request_threshold;
}

} // namespace

bool advice_manager::can_send_request(bool is_long) const {
    const auto reserved =
        this->max_requests > 1 ? std::max(this->max_requests / requests_per_reserved_one, 1U) : 0;
    return this->requests_in_flight < this->max_requests &&
           (!is_long || this->long_requests_in_flight + reserved < this->max_requests);
}

void advice_manager::ask(live_step& step, std::size_t places, core::steady_time now) {
    if (!step.job->policy().advice || step.advice.request_in_flight || now < step.advice.retry_at ||
        !this->can_send_request(takes_long(step.job->policy().advice->base_time + call_margin))) {
        return;
    }
    auto workers = this->has_enough(step, places, now) ? std::vector<core::worker_id>{}
                                                       : this->workers_to_ask_about(step, places, now);
    if (workers.empty()) {
        step.advice.retry_at = now + no_candidate_pause;
        return;
    }
    step.advice.request_in_flight = true;
    const auto& policy = *step.job->policy().advice;
    const auto expected = policy.base_time + std::chrono::ceil<core::milliseconds>(
                                                 policy.time_per_worker * static_cast<int>(workers.size()));
    this->requests_in_flight++;
    this->long_requests_in_flight += takes_long(expected + call_margin) ? 1 : 0;
    this->state.options.hooks.advise(
        {.step = step.name, .workers = std::move(workers), .timeout = expected + call_margin});
}

bool advice_manager::has_enough(const live_step& step, std::size_t places, core::steady_time now) const {
    if (step.request->gang) {
        return false; // Its tasks may need workers of one rack.
    }
    std::size_t free = 0;
    for (const auto& [id, ticket] : step.advice.allowed) {
        const auto worker = this->state.workers.find(id);
        if (worker != this->state.workers.end() && this->selector.can_take(step, worker->second, now)) {
            free += this->selector.tasks_that_fit(step, worker->second);
        }
    }
    return free >= places;
}

void advice_manager::on_reply(const advice_order& order, core::steady_time asked_at,
                              const advice_reply& reply, core::steady_time now) {
    this->requests_in_flight -= this->requests_in_flight > 0 ? 1 : 0;
    this->long_requests_in_flight -= takes_long(order.timeout) && this->long_requests_in_flight > 0 ? 1 : 0;
    auto* step = this->state.find_step(order.step);
    if (step == nullptr) {
        return;
    }
    step->advice.request_in_flight = false;
    telemetry::log_state("advice request finished", {{"step", order.step.text()},
                                                     {"asked", std::to_string(order.workers.size())},
                                                     {"allowed", std::to_string(reply.allowed.size())},
                                                     {"answered", reply.answered ? "yes" : "no"}});
    if (!reply.answered) {
        step->advice.retry_at = now + this->state.options.advice_retry_delay;
        return;
    }
    std::size_t newly_decided = 0;
    std::size_t permitted = 0;
    std::set<core::worker_id> allowed;
    step->needs_placement = true;
    this->state.placement_needed = true;
    for (const auto& row : reply.allowed) {
        allowed.insert(row.worker);
        const auto worker = this->state.workers.find(row.worker);
        if (worker == this->state.workers.end()) {
            continue;
        }
        permitted += step->advice.allowed.contains(row.worker) ? 0 : 1;
        step->advice.allowed[row.worker] = {.id = row.ticket,
                                            .incarnation = worker->second.entry.incarnation,
                                            .expires_at = asked_at + reply.lifetime -
                                                          this->state.options.ticket_expiry_margin};
    }
    for (const auto& worker : order.workers) {
        if (!allowed.contains(worker)) {
            step->advice.denied.insert(worker);
            newly_decided++;
        }
    }
    newly_decided += permitted;
    if (newly_decided > 0) {
        const auto queue = step->job->policy().queue;
        const auto known = this->allowed_share.try_emplace(queue, first_allowed_share).first;
        const auto seen = static_cast<double>(permitted) / static_cast<double>(newly_decided);
        known->second += share_smoothing * (seen - known->second);
    }
}

std::vector<core::worker_id> advice_manager::workers_to_ask_about(const live_step& step, std::size_t places,
                                                                  core::steady_time now) const {
    struct candidate {
        double cost;
        const worker_state* worker;
        bool known;
    };
    std::vector<candidate> candidates;
    for (const auto& [id, worker] : this->state.workers) {
        if (!step.advice.denied.contains(id) && this->selector.suits(step, worker, now) &&
            !this->selector.permitted(step, worker, now)) {
            const bool known = step.advice.allowed.contains(id);
            candidates.push_back({this->selector.cost(step, worker, now), &worker, known});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return a.known != b.known ? a.known : a.cost < b.cost;
    });
    const auto found = this->allowed_share.find(step.job->policy().queue);
    const auto share = std::max(found == this->allowed_share.end() ? first_allowed_share : found->second,
                                least_allowed_share);
    const auto wanted = static_cast<double>(places) * spare_share + spare_tasks;
    std::vector<core::worker_id> named;
    double expected = 0;
    for (const auto& one : candidates) {
        if (expected >= wanted || named.size() >= most_workers) {
            break;
        }
        named.push_back(one.worker->entry.worker);
        expected += (one.known ? 1 : share) * this->selector.tasks_that_fit(step, *one.worker);
    }
    return named;
}

} // namespace rattanmount::dispatch
