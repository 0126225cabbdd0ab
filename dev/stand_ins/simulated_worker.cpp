#include "stand_ins/simulated_worker.h"

#include "core/names.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanmount::stand_ins {

namespace {

using nlohmann::json;

constexpr core::milliseconds default_run_time{100};
constexpr core::milliseconds failing_run_time{10};

/// What a task does, as its payload says.
struct task_plan {
    core::milliseconds run_time = default_run_time; ///< Below 0: for ever.
    int exit = 0;
    core::resources use;
};

task_plan decode_plan(const std::string& payload, const core::resources& each) {
    task_plan plan{.use = each};
    const auto body = json::parse(payload, nullptr, false);
    if (!body.is_object()) {
        return plan;
    }
    plan.run_time = core::milliseconds{body.value("run_ms", default_run_time.count())};
    plan.exit = body.value("exit", 0);
    plan.use.millicores = body.value("use_millicores", each.millicores);
    plan.use.memory_mb = body.value("use_memory_mb", each.memory_mb);
    return plan;
}

json amounts(const core::resources& each) {
    return {each.millicores, each.memory_mb, each.accelerators};
}

core::steady_time time_after(core::steady_time now, core::milliseconds run_time) {
    return run_time.count() < 0 ? core::steady_time::max() : now + run_time;
}

} // namespace

simulated_worker::simulated_worker(simulated_worker_options options, journal& log)
    : options(std::move(options)), log(log) {}

void simulated_worker::settle(core::steady_time now) {
    if (now < this->frozen_until) {
        return;
    }
    const auto given_up_at = std::max(this->lease_end + this->options.hold, this->frozen_until);
    for (auto& [attempt, one] : this->tasks) {
        if (one.end) {
            continue;
        }
        if (one.ends_at <= std::min(now, given_up_at)) {
            this->finish(attempt, one, one.natural_end, one.ends_at);
        } else if (given_up_at <= now) {
            this->finish(attempt, one, core::attempt_end::lost, given_up_at);
        }
    }
}

void simulated_worker::freeze(core::steady_time now, core::milliseconds length) {
    this->settle(now);
    for (auto& [attempt, one] : this->tasks) {
        if (!one.end && one.ends_at != core::steady_time::max()) {
            one.ends_at += length;
        }
    }
    this->frozen_until = now + length;
}

stand_in_reply simulated_worker::lease(const std::string& body, core::steady_time now) {
    const auto request = json::parse(body);
    const auto asker = request.at("holder").get<std::string>();
    const auto renewed = request.value("lease", std::uint64_t{0});
    const core::milliseconds term{request.at("term_ms").get<std::int64_t>()};
    this->settle(now);
    const bool renewal = renewed != 0 && this->allowed(renewed, now) && asker == this->holder;
    const bool taken = this->lease_in_force(now) && (asker != this->holder || renewed != 0);
    if (!renewal && taken) {
        const auto left = std::chrono::ceil<core::milliseconds>(this->lease_end - now);
        this->log.add(now, {.kind = journal_kind::refused,
                            .target = this->options.name,
                            .holder = asker,
                            .value = this->lease_id,
                            .detail = "lease held"});
        return {.status = 409, .body = json{{"effect", "none"}, {"remaining_ms", left.count()}}.dump()};
    }
    if (!renewal) {
        ++this->lease_id;
    }
    for (const auto& attempt : request.value("forget", std::vector<std::string>{})) {
        const auto found = this->tasks.find(attempt);
        if (found != this->tasks.end() && found->second.end) {
            this->tasks.erase(found);
        }
    }
    return this->grant(asker, term, now);
}

stand_in_reply simulated_worker::start(const std::string& body, core::steady_time now, bool fails) {
    const auto request = json::parse(body);
    const auto attempt = request.at("attempt").get<std::string>();
    const core::resources each{.millicores = request.value("millicores", std::int64_t{0}),
                               .memory_mb = request.value("memory_mb", std::int64_t{0}),
                               .accelerators = request.value("accelerators", std::int64_t{0})};
    this->settle(now);
    if (!this->allowed(request.at("lease").get<std::uint64_t>(), now)) {
        return this->refuse(now, attempt, 409, "not under the lease in force");
    }
    if (this->tasks.contains(attempt)) {
        return {.body = "{}"};
    }
    const auto excess = (this->in_use() + each).first_excess(this->options.capacity);
    if (!excess.empty()) {
        this->log.add(now, {.kind = journal_kind::violation,
                            .target = this->options.name,
                            .id = attempt,
                            .detail = "capacity: " + excess,
                            .each = each});
        return this->refuse(now, attempt, 409, "no room: " + excess);
    }
    const auto plan = decode_plan(request.value("payload", ""), each);
    const bool succeeds = plan.exit == 0 && !fails;
    this->tasks[attempt] = {.each = each,
                            .use = plan.use,
                            .started_at = now,
                            .ends_at = time_after(now, fails ? failing_run_time : plan.run_time),
                            .natural_end =
                                succeeds ? core::attempt_end::finished : core::attempt_end::failed};
    this->log.add(now, {.kind = journal_kind::start,
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
    this->settle(now);
    if (!this->allowed(request.at("lease").get<std::uint64_t>(), now)) {
        return this->refuse(now, attempt, 409, "not under the lease in force");
    }
    const auto found = this->tasks.find(attempt);
    if (found == this->tasks.end()) {
        return this->refuse(now, attempt, 404, "no such attempt");
    }
    auto& task = found->second;
    if (task.end) {
        return {.body = "{}"};
    }
    this->log.add(now, {.kind = journal_kind::action,
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
    this->log.add(
        now, {.kind = journal_kind::refused, .target = this->options.name, .id = attempt, .detail = reason});
    return refusal(status, reason);
}

bool simulated_worker::lease_in_force(core::steady_time now) const {
    return this->lease_id != 0 && now < this->lease_end;
}

bool simulated_worker::allowed(std::uint64_t lease, core::steady_time now) const {
    return this->lease_in_force(now) && lease == this->lease_id;
}

core::resources simulated_worker::in_use() const {
    core::resources total;
    for (const auto& [attempt, one] : this->tasks) {
        if (!one.end) {
            total += one.each;
        }
    }
    return total;
}

std::string simulated_worker::inventory(core::steady_time now) const {
    auto items = json::array();
    for (const auto& [attempt, one] : this->tasks) {
        const auto until = one.end ? one.ended_at : now;
        const auto run_time = std::chrono::duration_cast<core::milliseconds>(until - one.started_at);
        json item{{"attempt", attempt}, {"each", amounts(one.each)}, {"run_ms", run_time.count()}};
        if (one.end) {
            item["end"] = core::to_string(*one.end);
        }
        if (one.end || run_time >= this->options.usage_lag) {
            item["used"] = amounts(one.use);
        }
        if (one.checkpointed) {
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
    this->log.add(now, {.kind = journal_kind::lease,
                        .target = this->options.name,
                        .holder = holder,
                        .value = this->lease_id,
                        .detail = std::to_string(term.count()) + " ms"});
    return {.body = this->inventory(now)};
}

void simulated_worker::finish(const std::string& attempt, task& ended, core::attempt_end end,
                              core::steady_time at) {
    ended.end = end;
    ended.ended_at = at;
    this->log.add(at, {.kind = journal_kind::end,
                       .target = this->options.name,
                       .id = attempt,
                       .detail = std::string{core::to_string(end)},
                       .each = ended.each});
}

} // namespace rattanmount::stand_ins
