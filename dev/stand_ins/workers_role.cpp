#include "stand_ins/workers_role.h"

#include "core/errors.h"

#include <nlohmann/json.hpp>

namespace rattanmount::stand_ins {

namespace {

constexpr std::size_t path_length = 3;

std::string call_name_of(const stand_in_call& call) {
    return call.path.size() == path_length ? call.path[2] : "none";
}

} // namespace

workers_role::workers_role(const workers_role_options& options, journal& events, fault_injector& faults)
    : faults(faults) {
    for (const auto& name : options.names) {
        this->workers.try_emplace(name,
                                  simulated_worker_options{.name = name,
                                                           .capacity = options.capacity,
                                                           .task_hold = options.task_hold,
                                                           .usage_lag = options.usage_lag},
                                  events);
    }
}

role_hooks workers_role::hooks() {
    return {.call_name = call_name_of,
            .handle = [this](const stand_in_call& call) { return this->handle(call); },
            .on_fault =
                [this](const fault& injected, core::steady_time now) {
                    if (injected.kind == fault_kind::freeze) {
                        this->freeze(injected, now);
                    }
                },
            .advance_to = [this](core::steady_time now) { this->advance_to(now); }};
}

stand_in_reply workers_role::handle(const stand_in_call& call) {
    if (call.path.size() != path_length || call.path[0] != "workers" || call.method != "POST") {
        return refusal(404, "no such path");
    }
    const auto found = this->workers.find(call.target());
    if (found == this->workers.end()) {
        return refusal(404, "no worker '" + call.target() + "'");
    }
    try {
        const std::lock_guard lock{this->mutex};
        return this->dispatch(call, found->second);
    } catch (const nlohmann::json::exception& error) {
        throw core::invalid_argument(std::string{"invalid call to a worker: "} + error.what());
    }
}

stand_in_reply workers_role::dispatch(const stand_in_call& call, simulated_worker& worker) {
    const auto now = std::chrono::steady_clock::now();
    const auto name = call_name_of(call);
    if (name == "lease") {
        return worker.lease(call.body, now);
    }
    if (name == "start") {
        return this->start(call, worker, now);
    }
    if (name == "act") {
        return worker.act(call.body, now);
    }
    return refusal(404, "unknown call '" + name + "': expected lease, start or act");
}

stand_in_reply workers_role::start(const stand_in_call& call, simulated_worker& worker,
                                   core::steady_time now) {
    const auto target = call.target();
    const injection_point site{.call = "start", .target = target, .now = now};
    if (this->faults.consume(fault_kind::fail_starts, site)) {
        const auto body = nlohmann::json::parse(call.body);
        return worker.refuse(now, body.at("attempt").get<std::string>(), 503,
                             "start failed by an injected fault");
    }
    return worker.start(call.body, now, this->faults.consume(fault_kind::fail_tasks, site).has_value());
}

void workers_role::advance_to(core::steady_time now) {
    const std::lock_guard lock{this->mutex};
    for (auto& [name, worker] : this->workers) {
        worker.advance_to(now);
    }
}

void workers_role::freeze(const fault& injected, core::steady_time now) {
    const std::lock_guard lock{this->mutex};
    for (auto& [name, worker] : this->workers) {
        if (injected.target.empty() || injected.target == name) {
            worker.freeze(now, injected.length);
        }
    }
}

} // namespace rattanmount::stand_ins
