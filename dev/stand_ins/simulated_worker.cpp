#include "stand_ins/simulated_worker.h"

#include "core/names.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanmount::stand_ins {

namespace {

using nlohmann::json;

constexpr core::milliseconds default_run_time{100};
constexpr core::milliseconds failing_run_time{10};

/// The simulated behaviour of a task, taken from its payload.
struct task_plan {
    core::milliseconds run_time = default_run_time; ///< Negative: unlimited.
    int exit = 0;
    core::resources used;
};

task_plan decode_plan(const std::string& payload, const core::resources& each) {
    task_plan plan{.used = each};
    const auto body = json::parse(payload, nullptr, false);
    if (!body.is_object()) {
        return plan;
    }
    plan.run_time = core::milliseconds{body.value("run_ms", default_run_time.count())};
    plan.exit = body.value("exit", 0);
    plan.used.millicores = body.value("use_millicores", each.millicores);
    plan.used.memory_mb = body.value("use_memory_mb", each.memory_mb);
    return plan;
}

json resources_json(const core::resources& each) {
    return {each.millicores, each.memory_mb, each.accelerators};
}

core::steady_time time_after(core::steady_time now, core::milliseconds run_time) {
    return run_time.count() < 0 ? core::steady_time::max() : now + run_time;
}

} // namespace

simulated_worker::simulated_worker(simulated_worker_options options, journal& events)
    : options(std::move(options)), events(events) {}

void simulated_worker::advance_to(core::steady_time now) {
    if (now < this->frozen_until) {
        return;
    }
    const auto abandoned_at = std::max(this->lease_end + this->options.task_hold, this->frozen_until);
    for (auto& [attempt, task] : this->tasks) {
        if (task.outcome) {
            continue;
        }
        if (task.ends_at <= std::min(now, abandoned_at)) {
            this->finish(attempt, task, task.planned_outcome, task.ends_at);
        } else if (abandoned_at <= now) {
            this->finish(attempt, task, core::attempt_end::lost, abandoned_at);
        }
    }
}

void simulated_worker::freeze(core::steady_time now, core::milliseconds length) {
    this->advance_to(now);
    for (auto& [attempt, task] : this->tasks) {
        if (!task.outcome && task.ends_at != core::steady_time::max()) {
            task.ends_at += length;
        }
    }
    this->frozen_until = now + length;
}

stand_in_reply simulated_worker::lease(const std::string& body, core::steady_time now) {
    const auto request = json::parse(body);
    const auto requester = request.at("holder").get<std::string>();
    const auto renewed_lease = request.value("lease", std::uint64_t{0});
    const core::milliseconds term{request.at("term_ms").get<std::int64_t>()};
    this->advance_to(now);
    const bool is_renewal =
        renewed_lease != 0 && this->is_active_lease(renewed_lease, now) && requester == this->holder;
    const bool is_held = this->has_active_lease(now) && (requester != this->holder || renewed_lease != 0);
    if (!is_renewal && is_held) {
        const auto left = std::chrono::ceil<core::milliseconds>(this->lease_end - now);
        this->events.add(now, {.kind = journal_kind::refused,
                               .target = this->options.name,
                               .holder = requester,
                               .value = this->lease_id,
                               .detail = "lease held"});
        return {.status = 409, .body = json{{"effect", "none"}, {"remaining_ms", left.count()}}.dump()};
    }
    if (!is_renewal) {
        ++this->lease_id;
    }
    for (const auto& attempt : request.value("forget", std::vector<std::string>{})) {
        const auto found = this->tasks.find(attempt);
        if (found != this->tasks.end() && found->second.outcome) {
            this->tasks.erase(found);
        }
    }
    return this->grant(requester, term, now);
}

stand_in_reply simulated_worker::start(const std::string& body, core::steady_time now, bool fails) {
    const auto request = json::parse(body);
    const auto attempt = request.at("attempt").get<std::string>();
    const core::resources each{.millicores = request.value("millicores", std::int64_t{0}),
                               .memory_mb = request.value("memory_mb", std::int64_t{0}),
                               .accelerators = request.value("accelerators", std::int64_t{0})};
    this->advance_to(now);
    if (!this->is_active_lease(request.at("lease").get<std::uint64_t>(), now)) {
        return this->refuse(now, attempt, 409, "the lease is not the active one");
    }
    if (this->tasks.contains(attempt)) {
        return {.body = "{}"};
    }
    const auto excess = (this->in_use() + each).first_excess(this->options.capacity);
    if (!excess.empty()) {
        this->events.add(now, {.kind = journal_kind::violation,
                               .target = this->options.name,
                               .id = attempt,
                               .detail = "capacity: " + excess,
                               .each = each});
        return this->refuse(now, attempt, 409, "capacity exceeded: " + excess);
    }
    const auto plan = decode_plan(request.value("payload", ""), each);
    const bool succeeds = plan.exit == 0 && !fails;
    this->tasks[attempt] = {.each = each,
                            .used = plan.used,
                            .started_at = now,
                            .ends_at = time_after(now, fails ? failing_run_time : plan.run_time),
                            .planned_outcome =
                                succeeds ? core::attempt_end::finished : core::attempt_end::failed};
    this->events.add(now, {.kind = journal_kind::start,
                           .target = this->options.name,
                           .id = attempt,
                           .holder = this->holder,
                           .value = this->lease_id,
                           .each = each});
    return {.body = "{}"};
}

stand_in_reply simulated_worker::act(const std::string& body, core::steady_time now) {
    const auto request = json::parse(body);
    const auto attempt = request.at("attempt").get<std::string>();
    const auto action = request.at("action").get<std::string>();
    this->advance_to(now);
    if (!this->is_active_lease(request.at("lease").get<std::uint64_t>(), now)) {
        return this->refuse(now, attempt, 409, "the lease is not the active one");
    }
    const auto found = this->tasks.find(attempt);
    if (found == this->tasks.end()) {
        return this->refuse(now, attempt, 404, "no such attempt");
    }
    auto& task = found->second;
    if (task.outcome) {
        return {.body = "{}"};
    }
    this->events.add(now, {.kind = journal_kind::action,
                           .target = this->options.name,
                           .id = attempt,
                           .value = this->lease_id,
                           .detail = action});
    if (action == "stop") {
        this->finish(attempt, task, core::attempt_end::stopped, now);
    } else if (action == "checkpoint") {
        task.checkpointed = true;
    } else if (action == "throttle" && task.ends_at != core::steady_time::max()) {
        task.ends_at += task.ends_at - now;
    }
    return {.body = "{}"};
}

stand_in_reply simulated_worker::refuse(core::steady_time now, const std::string& attempt,
                                        std::uint16_t status, const std::string& reason) {
    this->events.add(
        now, {.kind = journal_kind::refused, .target = this->options.name, .id = attempt, .detail = reason});
    return refusal(status, reason);
}

bool simulated_worker::has_active_lease(core::steady_time now) const {
    return this->lease_id != 0 && now < this->lease_end;
}

bool simulated_worker::is_active_lease(std::uint64_t lease, core::steady_time now) const {
    return this->has_active_lease(now) && lease == this->lease_id;
}

core::resources simulated_worker::in_use() const {
    core::resources total;
    for (const auto& [attempt, task] : this->tasks) {
        if (!task.outcome) {
            total += task.each;
        }
    }
    return total;
}

std::string simulated_worker::inventory(core::steady_time now) const {
    auto items = json::array();
    for (const auto& [attempt, task] : this->tasks) {
        const auto until = task.outcome ? task.ended_at : now;
        const auto run_time = std::chrono::duration_cast<core::milliseconds>(until - task.started_at);
        json item{{"attempt", attempt}, {"each", resources_json(task.each)}, {"run_ms", run_time.count()}};
        if (task.outcome) {
            item["end"] = core::to_string(*task.outcome);
        }
        if (task.outcome || run_time >= this->options.usage_lag) {
            item["used"] = resources_json(task.used);
        }
        if (task.checkpointed) {
            item["checkpointed"] = true;
        }
        items.push_back(std::move(item));
    }
    return json{{"lease", this->lease_id}, {"inventory", items}}.dump();
}

stand_in_reply simulated_worker::grant(const std::string& holder, core::milliseconds term,
                                       core::steady_time now) {
    this->holder = holder;
    this->lease_end = now + term;
    this->events.add(now, {.kind = journal_kind::lease,
                           .target = this->options.name,
                           .holder = holder,
                           .value = this->lease_id,
                           .detail = std::to_string(term.count()) + " ms"});
    return {.body = this->inventory(now)};
}

void simulated_worker::finish(const std::string& attempt, task& ended, core::attempt_end outcome,
                              core::steady_time at) {
    ended.outcome = outcome;
    ended.ended_at = at;
    this->events.add(at, {.kind = journal_kind::end,
                          .target = this->options.name,
                          .id = attempt,
                          .detail = std::string{core::to_string(outcome)},
                          .each = ended.each});
}

} // namespace rattanmount::stand_ins
