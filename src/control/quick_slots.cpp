#include "control/quick_slots.h"

#include "control/policy_check.h"

#include <algorithm>
#include <utility>

namespace rattanmount::control {

namespace {

routing::slot_end slot_end_of(cell::slot_release how) {
    switch (how) {
    case cell::slot_release::done:
        return routing::slot_end::answered;
    case cell::slot_release::unsent:
        return routing::slot_end::unsent;
    case cell::slot_release::refused:
        return routing::slot_end::refused;
    case cell::slot_release::lost:
    case cell::slot_release::broken:
        return routing::slot_end::lost;
    }
    return routing::slot_end::lost;
}

bool calls_service(const release::pool_policy& pool, const core::service_id& service) {
    return std::ranges::find(pool.services, service) != pool.services.end();
}

} // namespace

quick_slots::quick_slots(quick_slots_options options, const config_replica& config, const shard_table& shards)
    : options(std::move(options)), config(config), shards(shards), broker(this->broker_options()) {}

slot_broker_options quick_slots::broker_options() {
    auto result = this->options.broker;
    result.reserve_local = [this](const core::service_id& service, std::optional<core::shard_id> only,
                                  core::milliseconds limit, core::steady_time now) {
        return this->reserve_local(service, only, limit, now);
    };
    return result;
}

std::optional<quick_route> quick_slots::reserve_local(const core::service_id& service,
                                                      std::optional<core::shard_id> only,
                                                      core::milliseconds limit, core::steady_time now) const {
    if (this->options.may_have_lost_shards(now)) {
        return std::nullopt;
    }
    for (const auto& [shard, controller] : this->shards.all()) {
        if (!controller->owned() || controller->phase() == shard_phase::releasing ||
            (only && *only != shard)) {
            continue;
        }
        if (auto slot = controller->slots().reserve(service, limit, now)) {
            return quick_route{.target = quick_route::target_type::granted,
                               .shard = shard,
                               .slot = *slot,
                               .until = now + limit};
        }
    }
    return std::nullopt;
}

void quick_slots::reserve(const core::quick_request& request, core::milliseconds limit,
                          core::milliseconds attempt_limit, core::steady_time now, quick_responder respond) {
    const auto& policies = this->config.policies();
    if (const auto unknown =
            unknown_name_error(policies, request.id.team, request.pool, core::work_kind::quick)) {
        respond({.target = quick_route::target_type::refused, .reason = *unknown});
        return;
    }
    const auto* pool = policies.pool(request.pool);
    if (!calls_service(*pool, request.service)) {
        respond({.target = quick_route::target_type::refused,
                 .reason = "pool '" + request.pool.value() + "' does not call service '" +
                           request.service.value() + "'"});
        return;
    }
    this->broker.find({.request = {.pool = request.pool,
                                   .team = request.id.team,
                                   .service = request.service,
                                   .urgent = pool->urgent,
                                   .priority = pool->priority,
                                   .deadline = now + limit},
                       .attempt_limit = attempt_limit},
                      now, std::move(respond));
}

void quick_slots::reserve_for_peer(core::shard_id shard, const core::service_id& service,
                                   const core::incarnation_id& caller, core::milliseconds limit,
                                   core::milliseconds wait, core::steady_time now,
                                   const std::function<void(cell::slot_grant)>& respond) {
    if (this->shards.find_owned(shard) == nullptr) {
        respond({.reason = "not the owner of the shard"});
        return;
    }
    // The peer does not name the pool, so its request gets the highest priority of the pools that call the
    // service.
    routing::waiting_request request{.shard = shard,
                                     .pool = core::pool_id{"peers"},
                                     .team = core::team_id{caller.value()},
                                     .service = service,
                                     .deadline = now + wait};
    for (const auto& pool : this->config.policies().pools()) {
        if (calls_service(pool, service)) {
            request.urgent = request.urgent || pool.urgent;
            request.priority = std::max(request.priority, pool.priority);
        }
    }
    this->broker.find({.request = request, .attempt_limit = limit}, now, [respond](const quick_route& route) {
        if (route.target != quick_route::target_type::granted) {
            respond({.reason = route.reason});
            return;
        }
        respond({.granted = true,
                 .grant = route.slot.grant,
                 .executor = route.slot.executor,
                 .address = route.slot.address});
    });
}

void quick_slots::release(core::shard_id shard, std::uint64_t grant, cell::slot_release how,
                          core::steady_time now) {
    if (auto* controller = this->shards.find_owned(shard)) {
        controller->slots().release(grant, slot_end_of(how), now);
        this->broker.serve(now);
    }
}

} // namespace rattanmount::control
