#include "routing/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace rattanmount::routing {

admission_queue::admission_queue(admission_queue_options options) : options(options) {}

bool admission_queue::is_expired(const waiting_request& request, core::steady_time now) const {
    return now + this->options.min_run_time > request.deadline;
}

bool admission_queue::push(const waiting_request& request, core::steady_time now) {
    if (this->is_expired(request, now)) {
        return false;
    }
    auto& size = this->pool_sizes[request.pool];
    if (size >= this->options.pool_limit) {
        return false;
    }
    ++size;
    ++this->waiting;
    this->lanes[{.urgent = request.urgent,
                 .priority = request.priority,
                 .pool = request.pool,
                 .team = request.team,
                 .service = request.service,
                 .shard = request.shard}]
        .requests.push_back(request);
    return true;
}

std::vector<std::uint64_t> admission_queue::drop_expired(core::steady_time now) {
    std::vector<std::uint64_t> dropped;
    for (auto& [key, lane] : this->lanes) {
        std::erase_if(lane.requests, [&](const waiting_request& request) {
            if (!this->is_expired(request, now)) {
                return false;
            }
            dropped.push_back(request.ticket);
            this->remove_from_counts(request);
            return true;
        });
    }
    this->erase_empty_lanes();
    return dropped;
}

void admission_queue::remove(std::uint64_t ticket) {
    for (auto& [key, lane] : this->lanes) {
        const auto found = std::ranges::find(lane.requests, ticket, &waiting_request::ticket);
        if (found != lane.requests.end()) {
            this->remove_from_counts(*found);
            lane.requests.erase(found);
            this->erase_empty_lanes();
            return;
        }
    }
}

std::vector<admission_queue::lane_key> admission_queue::lanes_in_service_order() const {
    std::vector<lane_key> keys;
    for (const auto& [key, lane] : this->lanes) {
        keys.push_back(key);
    }
    const auto rank = [this](const lane_key& key) {
        const auto served = this->last_served.find(key.team);
        return std::tuple{!key.urgent, -static_cast<std::int64_t>(key.priority),
                          served == this->last_served.end() ? 0 : served->second,
                          this->lanes.at(key).requests.front().deadline};
    };
    std::ranges::stable_sort(
        keys, [&](const lane_key& left, const lane_key& right) { return rank(left) < rank(right); });
    return keys;
}

void admission_queue::assign_slots(const std::function<bool(const waiting_request&)>& try_assign) {
    bool served = true;
    while (served) {
        served = false;
        for (const auto& key : this->lanes_in_service_order()) {
            auto& lane = this->lanes.at(key);
            if (!try_assign(lane.requests.front())) {
                continue;
            }
            this->last_served[key.team] = ++this->serve_count;
            this->remove_from_counts(lane.requests.front());
            lane.requests.pop_front();
            served = true;
            break;
        }
        this->erase_empty_lanes();
    }
}

bool admission_queue::has_waiting(const core::service_id& service) const {
    return std::ranges::any_of(
        this->lanes, [&](const auto& entry) { return entry.first.service == service && !entry.first.shard; });
}

void admission_queue::remove_from_counts(const waiting_request& request) {
    --this->waiting;
    --this->pool_sizes[request.pool];
}

void admission_queue::erase_empty_lanes() {
    std::erase_if(this->lanes, [](const auto& entry) { return entry.second.requests.empty(); });
    std::erase_if(this->pool_sizes, [](const auto& entry) { return entry.second == 0; });
    std::erase_if(this->last_served, [this](const auto& entry) {
        return std::ranges::none_of(this->lanes,
                                    [&](const auto& lane) { return lane.first.team == entry.first; });
    });
}

} // namespace rattanmount::routing
