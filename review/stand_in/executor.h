#pragma once

#include "record.h"
#include "store.h"

#include <condition_variable>
#include <set>
#include <thread>

namespace review {

/// What an executor says of itself.
struct executor_entry {
    std::string id;
    std::string service;
    std::string kind;
    std::string rack;
    std::int64_t cpu = 64000;
    std::int64_t memory_mb = 262144;
};

/// A start that an executor has begun on an order.
struct seen_start {
    std::int64_t at_ms = 0;
    std::string executor;
    std::string kind; ///< The kind that the executor had then.
    std::string task;
    std::uint64_t run = 0;
    std::string spec;
};

/// An end of a run that an executor lists.
struct seen_end {
    std::int64_t listed_ms = 0;
    std::int64_t noted_ms = -1; ///< When `ackCursor` reached it; -1 if it did not.
    std::string executor;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
};

/// What all executors of a case have done.
class journal {
public:
    explicit journal(record_file& file) : file(file) {}

    void started(const seen_start& one) {
        const std::lock_guard guard{this->mutex};
        this->starts.push_back(one);
        if (this->writes_runs) {
            this->file.line(one.executor + " starts " + one.task + " run " + std::to_string(one.run));
        }
    }
    std::size_t ended(const seen_end& one) {
        const std::lock_guard guard{this->mutex};
        this->ends.push_back(one);
        if (this->writes_runs) {
            this->file.line(one.executor + " ends " + one.task + " run " + std::to_string(one.run) + " " +
                            one.how);
        }
        return this->ends.size() - 1;
    }
    void noted(std::size_t end) {
        const std::lock_guard guard{this->mutex};
        this->ends[end].noted_ms = now_ms();
    }
    std::vector<seen_start> all_starts() {
        const std::lock_guard guard{this->mutex};
        return this->starts;
    }
    std::vector<seen_end> all_ends() {
        const std::lock_guard guard{this->mutex};
        return this->ends;
    }
    bool writes_runs = true;

private:
    std::mutex mutex;
    record_file& file;
    std::vector<seen_start> starts;
    std::vector<seen_end> ends;
};

/// One life of an executor, as PROTOCOL.md states it. Its tasks last as many milliseconds as `spec` says.
///
/// It doesn't guard its capacity. It registers in the store when it starts to listen, and then every 1.5 s.
class executor {
public:
    static constexpr std::int64_t max_hold_ms = 10000;
    static constexpr std::int64_t checkpoint_ms = 2000;
    static constexpr std::size_t max_ends_listed = 500;

    executor(executor_entry entry, store& platform, journal& seen, std::uint16_t port = 0)
        : entry(std::move(entry)), platform(platform), seen(seen),
          server([this](const request& one) { return this->handle(one); }, port) {
        this->ticker = std::jthread{[this](const std::stop_token& stop) { this->tick(stop); }};
    }
    ~executor() {
        this->ticker.request_stop();
        this->changed.notify_all();
    }

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    [[nodiscard]] const std::string& id() const { return this->entry.id; }

    std::size_t running() {
        const std::lock_guard guard{this->mutex};
        return this->runs.size();
    }

private:
    struct run {
        std::uint64_t number = 0;
        std::int64_t started_ms = 0;
        std::int64_t work_ms = 0; ///< 0: lasts.
        std::string checkpoint;
    };
    struct end {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::string checkpoint;
        std::size_t in_journal = 0;
    };

    [[nodiscard]] std::int64_t clock() const { return now_ms() - this->created_ms; }

    void beat() {
        const json body{
            {"service", this->entry.service},
            {"address", "127.0.0.1:" + std::to_string(this->port())},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", this->entry.cpu}, {"memMb", this->entry.memory_mb}, {"gpus", 0}}},
            {"labels", {this->entry.kind, this->entry.rack}},
            {"born", this->born},
            {"clockMs", this->clock()},
            {"sequence", ++this->beats}};
        this->platform.put_by_call("keyed.servers", this->entry.id, body.dump());
    }

    void tick(const std::stop_token& stop) {
        constexpr std::int64_t beat_interval_ms = 1500;
        std::int64_t beat_at = now_ms();
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock{this->mutex};
                this->changed.wait_for(lock, stop, milliseconds{5}, [] { return false; });
                this->end_runs();
            }
            if (now_ms() >= beat_at) {
                beat_at += beat_interval_ms;
                this->beat();
            }
        }
    }

    void add_end(const std::string& task, const run& of, const std::string& how) {
        const auto number = ++this->last_end;
        const auto in_journal = this->seen.ended(
            {.listed_ms = now_ms(), .executor = this->entry.id, .task = task, .run = of.number, .how = how});
        this->ends.push_back({number, task, of.number, how, of.checkpoint, in_journal});
        auto& highest = this->closed_runs[task];
        highest = std::max(highest, of.number);
    }

    void end_runs() {
        const auto now = now_ms();
        const bool lapsed = this->clock() > this->lease_until;
        bool any = false;
        for (auto place = this->runs.begin(); place != this->runs.end();) {
            auto& one = place->second;
            const bool done = one.work_ms > 0 && now - one.started_ms >= one.work_ms;
            if (!done && !lapsed) {
                const auto steps = (now - one.started_ms) / checkpoint_ms;
                if (steps > 0) {
                    one.checkpoint = checkpoint_of(steps);
                }
                ++place;
                continue;
            }
            this->add_end(place->first, one, done ? "done" : "lapsed");
            place = this->runs.erase(place);
            any = true;
        }
        if (any) {
            this->changed.notify_all();
        }
    }

    static std::string checkpoint_of(std::int64_t steps) {
        std::ostringstream text;
        text << std::hex << std::setw(16) << std::setfill('0') << steps;
        return text.str();
    }

    [[nodiscard]] json clock_body() const { return {{"clockMs", this->clock()}, {"born", this->born}}; }

    reply refusal(const std::string& reason) const {
        auto body = this->clock_body();
        body["reason"] = reason;
        return json_reply(409, body);
    }

    reply handle(const request& one) {
        if (!one.instance.empty() && one.instance != this->entry.id) {
            return json_reply(421, this->clock_body());
        }
        const auto order = json::parse(one.body);
        std::unique_lock lock{this->mutex};
        const auto token = order.value("fencingToken", std::int64_t{0});
        if (token < this->highest_token) {
            return this->refusal("fence");
        }
        this->highest_token = token;
        if (one.path == "/run-start") {
            return this->start(order);
        }
        if (one.path == "/run-stop") {
            return this->stop(order);
        }
        return one.path == "/hold" ? this->hold(order, lock) : json_reply(404, this->clock_body());
    }

    void extend_lease(std::int64_t deadline) {
        this->lease_until = std::max(this->lease_until, std::min(deadline, this->clock() + max_hold_ms));
    }

    reply start(const json& order) {
        const auto task = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint64_t>();
        const auto deadline = order.at("deadlineMs").get<std::int64_t>();
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.number == number) {
            return json_reply(200, this->clock_body());
        }
        const auto closed = this->closed_runs.find(task);
        if (known != this->runs.end() || (closed != this->closed_runs.end() && number <= closed->second)) {
            this->extend_lease(deadline);
            return this->refusal("old");
        }
        if (deadline <= this->clock()) {
            return this->refusal("late");
        }
        this->end_runs(); // A lease that has expired must not be revived.
        this->extend_lease(deadline);
        const auto spec = order.at("spec").get<std::string>();
        this->runs[task] = {.number = number,
                            .started_ms = now_ms(),
                            .work_ms = std::atoll(spec.c_str()),
                            .checkpoint = order.value("checkpoint", "")};
        this->seen.started({.at_ms = now_ms(),
                            .executor = this->entry.id,
                            .kind = this->entry.kind,
                            .task = task,
                            .run = number,
                            .spec = spec});
        return json_reply(200, this->clock_body());
    }

    reply stop(const json& order) {
        const auto task = order.at("task").get<std::string>();
        const auto number = order.at("run").get<std::uint64_t>();
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.number <= number) {
            this->add_end(task, known->second, "stopped");
            this->runs.erase(known);
            this->changed.notify_all();
        }
        auto& highest = this->closed_runs[task];
        highest = std::max(highest, number);
        return json_reply(200, this->clock_body());
    }

    reply hold(const json& order, std::unique_lock<std::mutex>& lock) {
        const auto noted = order.value("ackCursor", std::uint64_t{0});
        while (!this->ends.empty() && this->ends.front().number <= noted) {
            this->seen.noted(this->ends.front().in_journal);
            this->ends.pop_front();
        }
        this->end_runs();
        if (order.contains("deadlineMs")) {
            this->extend_lease(order.at("deadlineMs").get<std::int64_t>());
        }
        const auto wait = std::min<std::int64_t>(order.value("waitMs", std::int64_t{0}), 2000);
        this->changed.wait_for(lock, milliseconds{wait}, [this] { return !this->ends.empty(); });
        auto body = this->clock_body();
        body["running"] = json::array();
        for (const auto& [task, one] : this->runs) {
            body["running"].push_back({task, one.number, one.checkpoint, 100, 100});
        }
        body["finished"] = json::array();
        for (const auto& one : this->ends) {
            if (body["finished"].size() == max_ends_listed) {
                break;
            }
            body["finished"].push_back({one.number, one.task, one.run, one.how, one.checkpoint});
        }
        return json_reply(200, body);
    }

    const executor_entry entry;
    store& platform;
    journal& seen;
    const std::int64_t created_ms = now_ms();
    const std::int64_t born =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::mutex mutex;
    std::condition_variable_any changed;
    std::uint64_t beats = 0;
    std::int64_t highest_token = 0;
    std::int64_t lease_until = 0;
    std::uint64_t last_end = 0;
    std::map<std::string, run> runs;
    std::map<std::string, std::uint64_t> closed_runs; ///< Highest run that ended or was stopped here.
    std::deque<end> ends;
    http_server server;
    std::jthread ticker;
};

} // namespace review
