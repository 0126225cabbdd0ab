#include "stand_ins/executors_role.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace rattanmount::stand_ins {

namespace {

constexpr core::milliseconds default_run_time{20};

/// The simulated behaviour of a request, taken from its body.
struct request_plan {
    core::milliseconds run_time = default_run_time;
    std::size_t size = 0; ///< Size of the text in the answer, in bytes.
    bool fails = false;
};

request_plan decode_plan(const std::string& body) {
    request_plan plan;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object()) {
        plan.run_time = core::milliseconds{json.value("run_ms", default_run_time.count())};
        plan.size = json.value("size", std::size_t{0});
        plan.fails = json.value("fail", false);
    }
    return plan;
}

} // namespace

executors_role::executors_role(executors_role_options options, journal& events, fault_injector& faults)
    : options(std::move(options)), events(events), faults(faults) {
    for (const auto& name : this->options.names) {
        this->executors.try_emplace(name);
    }
}

role_hooks executors_role::hooks() {
    return {
        .call_name = [](const stand_in_call& call) { return call.path.size() == 3 ? call.path[2] : "none"; },
        .handle = [this](const stand_in_call& call) { return this->handle(call); },
        .on_connection_closed =
            [this](const std::string& connection) { this->forget_connection(connection); }};
}

stand_in_reply executors_role::handle(const stand_in_call& call) {
    if (call.path.size() != 3 || call.path[0] != "executors" || call.path[2] != "run" ||
        call.method != "POST") {
        return refusal(404, "no such path");
    }
    const auto found = this->executors.find(call.target());
    if (found == this->executors.end()) {
        return refusal(404, "no executor '" + call.target() + "'");
    }
    const auto excess = this->admit(call, found->second);
    if (!excess.empty()) {
        auto reply = refusal(503, excess);
        reply.close_connection = true;
        return reply;
    }
    auto reply = this->run(call);
    const std::lock_guard lock{this->mutex};
    --found->second.running;
    return reply;
}

std::string executors_role::admit(const stand_in_call& call, executor& target) {
    const std::lock_guard lock{this->mutex};
    std::string excess;
    if (!target.connections.contains(call.connection) &&
        target.connections.size() >= this->options.connections) {
        excess = "too many connections";
    } else if (target.connections.insert(call.connection); target.running >= this->options.slots) {
        excess = "no free slot";
    }
    if (excess.empty()) {
        ++target.running;
        this->record(journal_kind::start, call, "");
    } else {
        this->record(journal_kind::violation, call, excess);
    }
    return excess;
}

stand_in_reply executors_role::run(const stand_in_call& call) {
    const auto plan = decode_plan(call.body);
    const bool abandoned = call.limit.count() > 0 && plan.run_time > call.limit;
    std::this_thread::sleep_for(abandoned ? call.limit : plan.run_time);
    this->sleep_while_frozen(call.target());
    const injection_point site{
        .call = "run", .target = call.path[1], .now = std::chrono::steady_clock::now()};
    const bool fails = plan.fails || this->faults.consume(fault_kind::fail_tasks, site).has_value();
    if (abandoned) {
        this->record(journal_kind::abandoned, call, "limit");
        return {.status = 504, .body = R"({"error":"abandoned at the time limit"})"};
    }
    this->record(journal_kind::end, call, fails ? "failed" : "finished");
    if (fails) {
        return {.status = 500, .body = R"({"error":"the request failed"})"};
    }
    this->record(journal_kind::answer, call, "");
    return {.body = call.request_id + "\n" + std::string(plan.size, 'x')};
}

void executors_role::record(journal_kind kind, const stand_in_call& call, const std::string& detail) {
    this->events.add(std::chrono::steady_clock::now(),
                     {.kind = kind, .target = call.target(), .id = call.request_id, .detail = detail});
}

void executors_role::sleep_while_frozen(const std::string& target) {
    while (
        const auto frozen = this->faults.consume(
            fault_kind::freeze, {.call = "run", .target = target, .now = std::chrono::steady_clock::now()})) {
        std::this_thread::sleep_until(frozen->until);
    }
}

void executors_role::forget_connection(const std::string& connection) {
    const std::lock_guard lock{this->mutex};
    for (auto& [name, executor] : this->executors) {
        executor.connections.erase(connection);
    }
}

} // namespace rattanmount::stand_ins
