#include "dispatch/advice_manager.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <cmath>
#include <ratio>
#include <set>

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
/// The most of the long requests that one queue may have in flight.
using queue_share = std::ratio<2, 3>;
/// Delay before the next search for candidates if none was found or none is needed.
constexpr core::milliseconds no_candidate_pause{50};

/// @return whether a request with this timeout is a long one.
bool takes_long(core::milliseconds timeout) {
    return timeout - call_margin > long_request_threshold;
}

} // namespace

bool advice_manager::can_send_request(const workflow::queue_id& queue, bool is_long) const {
    if (this->requests.size() >= this->max_requests) {
        return false;
    }
    if (!is_long) {
        return true;
    }
    const auto reserved =
        this->max_requests > 1 ? std::max(this->max_requests / requests_per_reserved_one, 1U) : 0;
    const auto limit = this->max_requests - reserved;
    std::uint32_t all = 0;
    std::uint32_t of_queue = 0;
    for (const auto& [step, sent] : this->requests) {
        all += sent.is_long ? 1 : 0;
        of_queue += sent.is_long && sent.queue == queue ? 1 : 0;
    }
    const auto queue_limit = static_cast<std::uint32_t>(limit * queue_share::num / queue_share::den);
    return all < limit && of_queue < std::max(queue_limit, 1U);
}

void advice_manager::ask(live_step& step, std::size_t places, core::steady_time now) {
    if (!step.job->policy().advice || step.advice.request_in_flight || now < step.advice.retry_at) {
        return;
    }
    const auto& queue = step.job->policy().queue;
    if (!this->can_send_request(queue, takes_long(step.job->policy().advice->base_time + call_margin))) {
        return;
    }
    auto workers = this->workers_to_ask_about(step, places, now);
    if (workers.empty()) {
        step.advice.retry_at = now + no_candidate_pause;
        return;
    }
    step.advice.request_in_flight = true;
    const auto expected = step.job->policy().advice->response_time(workers.size());
    this->requests.emplace(step.name, request{.queue = queue, .is_long = takes_long(expected + call_margin)});
    this->state.options.hooks.advise(
        {.step = step.name, .workers = std::move(workers), .timeout = expected + call_margin});
}

bool advice_manager::has_enough(const live_step& step, std::size_t places, core::steady_time now) const {
    std::size_t free = 0;
    this->selector.for_each_allowed(step, [&](const worker_state& worker) {
        if (this->selector.can_take(step, worker, now)) {
            free += this->selector.tasks_that_fit(step, worker);
        }
    });
    return free >= places;
}

void advice_manager::on_reply(const advice_order& order, core::steady_time asked_at,
                              const advice_reply& reply, core::steady_time now) {
    this->requests.erase(order.step);
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
            step->advice.allowed.erase(worker);
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

std::size_t advice_manager::places_known(const live_step& step, core::steady_time now) const {
    std::map<core::rack_id, std::size_t> places;
    this->selector.for_each_allowed(step, [&](const worker_state& worker) {
        places[task_placer::rack_group(step, worker)] +=
            this->selector.tasks_that_fit_when_idle(step, worker, now);
    });
    const auto most = std::max_element(places.begin(), places.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == places.end() ? 0 : most->second;
}

std::vector<core::worker_id> advice_manager::kept_workers_to_ask_about(const live_step& step,
                                                                       core::steady_time now) const {
    const std::set<core::worker_id> kept{step.kept_workers.begin(), step.kept_workers.end()};
    // All tickets have to be valid at a time, so those that expire before the answer are renewed with the
    // others.
    const auto answered_at = now + step.job->policy().advice->response_time(kept.size());
    std::vector<core::worker_id> expired;
    std::size_t free = 0;
    for (const auto& id : kept) {
        const auto worker = this->state.workers.find(id);
        if (worker == this->state.workers.end()) {
            continue;
        }
        free += worker->second.has_room_for_kept_places() ? 1 : 0;
        if (!this->selector.permitted(step, worker->second, answered_at)) {
            expired.push_back(id);
        }
    }
    return free * 2 >= kept.size() ? expired : std::vector<core::worker_id>{};
}

std::vector<core::worker_id> advice_manager::free_workers_to_ask_about(const live_step& step,
                                                                       std::size_t places,
                                                                       core::steady_time now) const {
    auto known_places = this->selector.kept_places_with_room(step).size();
    std::size_t unknown_places = 0;
    std::vector<candidate> unknown;
    for (const auto& [id, worker] : this->state.workers) {
        if (step.advice.denied.contains(id) || !this->selector.suits(step, worker, now)) {
            continue;
        }
        const auto count = this->selector.tasks_that_fit(step, worker);
        if (task_placer::known_allowed(step, worker)) {
            known_places += count;
        } else {
            unknown_places += count;
            unknown.push_back({this->selector.cost(step, worker, now), &worker, count, false});
        }
    }
    const auto share = this->share_allowed(step);
    const auto possible = static_cast<double>(known_places) + share * static_cast<double>(unknown_places);
    if (known_places >= places || possible < static_cast<double>(places)) {
        return {};
    }
    std::sort(unknown.begin(), unknown.end(),
              [](const candidate& a, const candidate& b) { return a.cost < b.cost; });
    return name_workers(unknown, places, static_cast<double>(known_places), share);
}

std::vector<advice_manager::candidate> advice_manager::candidates_for(const live_step& step,
                                                                      core::steady_time now) const {
    std::vector<candidate> found;
    for (const auto& [id, worker] : this->state.workers) {
        if (step.advice.denied.contains(id) || this->selector.permitted(step, worker, now)) {
            continue;
        }
        const bool known = step.advice.allowed.contains(id);
        if (step.request->gang) {
            // The tickets of known workers are renewed once places are kept there.
            const auto count = task_placer::known_allowed(step, worker)
                                   ? 0
                                   : this->selector.tasks_that_fit_when_idle(step, worker, now);
            if (count > 0) {
                found.push_back({this->selector.gang_cost(step, worker, now), &worker, count, known});
            }
        } else if (this->selector.suits(step, worker, now)) {
            found.push_back({this->selector.cost(step, worker, now), &worker,
                             this->selector.tasks_that_fit(step, worker), known});
        }
    }
    std::sort(found.begin(), found.end(), [](const candidate& a, const candidate& b) {
        return a.known != b.known ? a.known : a.cost < b.cost;
    });
    return found;
}

std::vector<core::worker_id> advice_manager::workers_to_ask_about(const live_step& step, std::size_t places,
                                                                  core::steady_time now) const {
    if (step.request->gang) {
        return this->gang_workers_to_ask_about(step, places, now);
    }
    if (this->has_enough(step, places, now)) {
        return {};
    }
    return name_workers(this->candidates_for(step, now), places, 0, this->share_allowed(step));
}

std::vector<core::worker_id> advice_manager::gang_workers_to_ask_about(const live_step& step,
                                                                       std::size_t places,
                                                                       core::steady_time now) const {
    if (auto free = this->free_workers_to_ask_about(step, places, now); !free.empty()) {
        return free;
    }
    if (!step.kept_workers.empty()) {
        return this->kept_workers_to_ask_about(step, now);
    }
    const auto known = this->places_known(step, now);
    if (known >= places) {
        return {};
    }
    return name_workers(this->candidates_for(step, now), places, static_cast<double>(known),
                        this->share_allowed(step));
}

double advice_manager::share_allowed(const live_step& step) const {
    const auto found = this->allowed_share.find(step.job->policy().queue);
    return std::max(found == this->allowed_share.end() ? first_allowed_share : found->second,
                    least_allowed_share);
}

std::vector<core::worker_id> advice_manager::name_workers(const std::vector<candidate>& candidates,
                                                          std::size_t places, double expected, double share) {
    const auto wanted = static_cast<double>(places) * spare_share + spare_tasks;
    std::vector<core::worker_id> named;
    for (const auto& one : candidates) {
        if (expected >= wanted || named.size() >= most_workers) {
            break;
        }
        named.push_back(one.worker->entry.worker);
        expected += (one.known ? 1 : share) * one.count;
    }
    return named;
}

} // namespace rattanmount::dispatch
