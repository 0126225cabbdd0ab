#include "runtime/advice_balancer.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

namespace rattanmount::runtime {

void advice_balancer::set_peers(const std::vector<peer_directory::peer>& peers) {
    {
        const std::lock_guard guard{this->mutex};
        std::set<core::incarnation_id> current;
        for (const auto& peer : peers) {
            current.insert(peer.incarnation);
            this->peers.try_emplace(peer.incarnation, channel{.ask = peer.calls.advise});
        }
        std::erase_if(this->peers, [&](const auto& peer) { return !current.contains(peer.first); });
    }
    this->channel_freed.notify_all();
    this->notify_concurrency();
}

dispatch::advice_reply advice_balancer::advise(const dispatch::advice_order& order) {
    std::unique_lock lock{this->mutex};
    const auto deadline = std::chrono::steady_clock::now() + order.timeout;
    while (true) {
        const auto peer = this->find_idle_peer(std::chrono::steady_clock::now());
        if (peer != this->peers.end()) {
            peer->second.busy = true;
            const auto incarnation = peer->first;
            lock.unlock();
            return this->ask_peer(incarnation, order);
        }
        if (!this->local_busy) {
            this->local_busy = true;
            lock.unlock();
            auto reply = this->ask_locally(order);
            lock.lock();
            this->local_busy = false;
            this->channel_freed.notify_one();
            return reply;
        }
        if (this->channel_freed.wait_until(lock, deadline) == std::cv_status::timeout) {
            return {};
        }
    }
}

dispatch::advice_reply advice_balancer::ask_locally(const dispatch::advice_order& order) const {
    try {
        return this->options.ask_locally(order);
    } catch (const std::exception& error) {
        telemetry::log_state("advice call failed", {{"reason", error.what()}});
        return {};
    }
}

std::map<core::incarnation_id, advice_balancer::channel>::iterator
advice_balancer::find_idle_peer(core::steady_time now) {
    return std::find_if(this->peers.begin(), this->peers.end(),
                        [now](const auto& peer) { return !peer.second.busy && peer.second.retry_at <= now; });
}

dispatch::advice_reply advice_balancer::ask_peer(const core::incarnation_id& incarnation,
                                                 const dispatch::advice_order& order) {
    std::function<dispatch::advice_reply(const dispatch::advice_order&)> ask;
    {
        const std::lock_guard guard{this->mutex};
        const auto peer = this->peers.find(incarnation);
        if (peer == this->peers.end()) {
            return {};
        }
        ask = peer->second.ask;
    }
    dispatch::advice_reply reply;
    bool reached = true;
    try {
        reply = ask(order);
    } catch (const std::exception& error) {
        reached = false;
        telemetry::log_state("advice call through a peer failed",
                             {{"peer", incarnation.value()}, {"reason", error.what()}});
    }
    const std::lock_guard guard{this->mutex};
    const auto peer = this->peers.find(incarnation);
    if (peer != this->peers.end()) {
        peer->second.busy = false;
        auto& used = peer->second;
        if (reached) {
            used.backoff = core::milliseconds{0};
        } else {
            used.backoff =
                std::clamp(used.backoff * 2, this->options.initial_backoff, this->options.max_backoff);
            used.retry_at = std::chrono::steady_clock::now() + used.backoff;
        }
    }
    this->channel_freed.notify_one();
    return reply;
}

void advice_balancer::notify_concurrency() {
    std::uint32_t count = 1;
    {
        const std::lock_guard guard{this->mutex};
        count += static_cast<std::uint32_t>(this->peers.size());
    }
    this->options.concurrency_changed(count);
}

} // namespace rattanmount::runtime
