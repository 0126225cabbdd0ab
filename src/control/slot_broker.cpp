#include "control/slot_broker.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanmount::control {

namespace {

quick_route shed(std::string reason) {
    return {.target = quick_route::target_type::shed, .reason = std::move(reason)};
}

} // namespace

slot_broker::slot_broker(slot_broker_options options)
    : options(std::move(options)), queue(this->options.queue), rooms(this->options.rooms) {}

std::optional<quick_route> slot_broker::route(const slot_need& need, core::steady_time now) {
    const auto remaining = std::chrono::duration_cast<core::milliseconds>(need.request.deadline - now);
    // The limit of a peer's request is set by the peer; the deadline here is only how long it waits for a
    // slot.
    const auto limit = need.request.shard ? need.attempt_limit : std::min(remaining, need.attempt_limit);
    if (limit.count() <= 0) {
        return std::nullopt;
    }
    if (auto own = this->options.reserve_local(need.request.service, need.request.shard, limit, now)) {
        return own;
    }
    if (need.request.shard) {
        return std::nullopt;
    }
    const auto choice = this->rooms.choose(need.request.service);
    if (!choice) {
        return std::nullopt;
    }
    return quick_route{
        .target = quick_route::target_type::ask_peer, .shard = choice->shard, .peer = choice->peer};
}

void slot_broker::find(const slot_need& need, core::steady_time now, quick_responder respond) {
    this->shed_unservable(now);
    auto request = need.request;
    request.ticket = this->next_ticket++;
    const bool from_peer = request.shard.has_value();
    if (from_peer && this->waiting_peer_requests >= this->options.max_peer_waiters) {
        respond(shed("too many requests of other entry hosts are waiting for a slot"));
        return;
    }
    if (!this->queue.push(request, now)) {
        respond(shed(request.deadline > now ? "the pool's queue on this entry host is full"
                                            : "no slot was free in time"));
        return;
    }
    this->waiting_peer_requests += from_peer ? 1 : 0;
    this->waiters[request.ticket] = {
        .attempt_limit = need.attempt_limit, .respond = std::move(respond), .from_peer = from_peer};
    this->serve(now);
}

void slot_broker::serve(core::steady_time now) {
    this->shed_unservable(now);
    this->queue.assign_slots([this, now](const routing::waiting_request& request) {
        const auto found = this->waiters.find(request.ticket);
        auto answer = this->route({.request = request, .attempt_limit = found->second.attempt_limit}, now);
        if (!answer) {
            return false;
        }
        const auto pending = std::move(found->second);
        this->waiters.erase(found);
        this->waiting_peer_requests -= pending.from_peer ? 1 : 0;
        pending.respond(std::move(*answer));
        return true;
    });
}

void slot_broker::shed_unservable(core::steady_time now) {
    for (const auto ticket : this->queue.drop_expired(now)) {
        const auto found = this->waiters.find(ticket);
        const auto pending = std::move(found->second);
        this->waiters.erase(found);
        this->waiting_peer_requests -= pending.from_peer ? 1 : 0;
        pending.respond(shed("no slot was free in time"));
    }
}

void slot_broker::on_view(const cell::peer_view& view, core::steady_time now) {
    std::vector<routing::peer_capacity> known;
    for (const auto& owned : view.shards) {
        for (const auto& room : owned.services) {
            known.push_back({.shard = owned.shard,
                             .peer = view.inner,
                             .service = room.service,
                             .free_slots = room.free_slots});
        }
    }
    this->rooms.update(view.inner, known);
    this->serve(now);
}

void slot_broker::on_peer_answer(core::shard_id shard, const core::service_id& service, bool refused,
                                 core::steady_time now) {
    this->rooms.on_answer(shard, service, refused);
    this->serve(now);
}

} // namespace rattanmount::control
