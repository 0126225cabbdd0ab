#include "routing/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace rattanmount::routing {

admission_queue::admission_queue(admission_queue_options options) : options(options) {}

bool admission_queue::hopeless(const waiting_request& request, core::steady_time now) const {
    return now + this->options.shortest_run > request.deadline;
}

bool admission_queue::push(const waiting_request& request, core::steady_time now) {
    if (this->hopeless(request, now)) {
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

std::vector<std::uint64_t> admission_queue::drop_hopeless(core::steady_time now) {
    std::vector<std::uint64_t> dropped;
    for (auto& [key, lane] : this->lanes) {
        std::erase_if(lane.requests, [&](const waiting_request& request) {
            if (!this->hopeless(request, now)) {
                return false;
            }
            dropped.push_back(request.ticket);
            this->forget(request);
            return true;
        });
    }
    this->trim();
    return dropped;
}

void admission_queue::remove(std::uint64_t ticket) {
    for (auto& [key, lane] : this->lanes) {
        const auto found = std::ranges::find(lane.requests, ticket, &waiting_request::ticket);
        if (found != lane.requests.end()) {
            this->forget(*found);
            lane.requests.erase(found);
            this->trim();
            return;
        }
    }
}

std::vector<admission_queue::lane_key> admission_queue::turns() const {
    std::vector<lane_key> keys;
    for (const auto& [key, lane] : this->lanes) {
        keys.push_back(key);
    }
    const auto rank = [this](const lane_key& key) {
        const auto served = this->served_at.find(key.team);
        return std::tuple{!key.urgent, -static_cast<std::int64_t>(key.priority),
                          served == this->served_at.end() ? 0 : served->second,
                          this->lanes.at(key).requests.front().deadline};
    };
    std::ranges::stable_sort(
        keys, [&](const lane_key& left, const lane_key& right) { return rank(left) < rank(right); });
    return keys;
}

void admission_queue::hand_out(const std::function<bool(const waiting_request&)>& serve) {
    bool served = true;
    while (served) {
        served = false;
        for (const auto& key : this->turns()) {
            auto& lane = this->lanes.at(key);
            if (!serve(lane.requests.front())) {
                continue;
            }
            this->served_at[key.team] = ++this->turn;
            this->forget(lane.requests.front());
            lane.requests.pop_front();
            served = true;
            break;
        }
        this->trim();
    }
}

bool admission_queue::waits_for(const core::service_id& service) const {
    return std::ranges::any_of(
        this->lanes, [&](const auto& entry) { return entry.first.service == service && !entry.first.shard; });
}

void admission_queue::forget(const waiting_request& request) {
    --this->waiting;
    --this->pool_sizes[request.pool];
}

void admission_queue::trim() {
    std::erase_if(this->lanes, [](const auto& entry) { return entry.second.requests.empty(); });
    std::erase_if(this->pool_sizes, [](const auto& entry) { return entry.second == 0; });
    std::erase_if(this->served_at, [this](const auto& entry) {
        return std::ranges::none_of(this->lanes,
                                    [&](const auto& lane) { return lane.first.team == entry.first; });
    });
}

} // namespace rattanmount::routing
