#include "control/worker_leases.h"

#include <algorithm>

namespace rattanmount::control {

worker_leases::worker_leases(core::shard_id shard, const cell::lease_options& options,
                             const host_hooks& hooks)
    : shard(shard), options(options), hooks(hooks) {}

void worker_leases::set_listed(const std::vector<external::listed_worker>& listed) {
    for (auto& [name, worker] : this->workers) {
        worker.listed = false;
    }
    for (const auto& info : listed) {
        auto& worker = this->workers.try_emplace(info.name, this->make_unlisted(info.name)).first->second;
        worker.info = info;
        worker.listed = true;
    }
}

leased_worker worker_leases::make_unlisted(const core::worker_id& name) const {
    return {.info = {.name = name}, .lease = cell::worker_lease{this->options}, .listed = false};
}

void worker_leases::renew(leased_worker& worker, core::steady_time now) {
    if (!worker.lease.request_due(now)) {
        return;
    }
    const std::vector<core::attempt_id> forget{worker.forget.begin(), worker.forget.end()};
    this->hooks.lease({.shard = this->shard,
                       .worker = worker.info.name,
                       .address = worker.info.address,
                       .request = worker.lease.next_request(now, forget),
                       .sent = now});
}

void worker_leases::release_all(core::steady_time now) {
    for (const auto& [name, worker] : this->workers) {
        if (!worker.lease.held(now)) {
            continue;
        }
        this->hooks.lease({.shard = this->shard,
                           .worker = name,
                           .address = worker.info.address,
                           .request = {.holder = this->options.holder,
                                       .renew = worker.lease.lease(),
                                       .term = core::milliseconds{0}},
                           .sent = now});
    }
}

void worker_leases::act(const leased_worker& worker, const core::attempt_id& attempt,
                        external::attempt_action action) {
    this->hooks.act({.worker = worker.info.name,
                     .address = worker.info.address,
                     .lease = worker.lease.lease(),
                     .attempt = attempt,
                     .action = action});
}

void worker_leases::stop(const core::worker_id& name, const core::attempt_id& attempt,
                         core::steady_time now) {
    if (auto* worker = this->find_held(name, now)) {
        this->act(*worker, attempt, external::attempt_action::stop);
        worker->lease.request_now();
    }
}

leased_worker* worker_leases::find(const core::worker_id& name) {
    const auto found = this->workers.find(name);
    return found == this->workers.end() ? nullptr : &found->second;
}

leased_worker* worker_leases::find_held(const core::worker_id& name, core::steady_time now) {
    auto* worker = this->find(name);
    return worker != nullptr && worker->lease.held(now) ? worker : nullptr;
}

bool worker_leases::all_acquired() const {
    return std::ranges::all_of(this->workers, [](const auto& entry) { return entry.second.lease_acquired; });
}

} // namespace rattanmount::control
