#pragma once

// Stand-in for the executors: PROTOCOL.md, "Running tasks". They guard no capacity.

#include "http.h"
#include "record.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stand_in {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// What the tasks of a step are.
struct step_kind {
    unsigned count = 1;
    milliseconds work{500};
    bool gang = false;
    bool lasts = false;
    unsigned failing_runs = 0; ///< The runs up to this number fail, each after `fails_after`.
    milliseconds fails_after{0};
};

/// What all executors of a case share: the steps of its jobs, and which members of gangs are present.
struct work_table {
    std::mutex mutex;
    std::map<std::string, step_kind> steps; ///< By ID.K.STEP.
    /// By ID.K.STEP and run, when each member began; the work of a gang counts from the last one.
    std::map<std::pair<std::string, unsigned>, std::map<std::string, steady_clock::time_point>> gangs;
    std::map<std::string, unsigned> begun;   ///< By ID, how many runs have begun.
    std::map<std::string, unsigned> at_work; ///< By ID, how many runs there are now.
    /// By task, the runs that there are now, each as its number and executor.
    std::map<std::string, std::set<std::pair<unsigned, std::string>>> runs_of;
    /// Called after a run has begun, with the task, the run and the executor; holds no lock.
    std::function<void(const std::string&, unsigned, const std::string&)> on_begin;
    std::set<std::string> run_twice;         ///< The tasks that had two runs at the same time.
    std::set<std::string> done;              ///< The tasks that have ended `done`.
    std::set<std::string> done_noted;        ///< Those whose end was taken note of by an `ackCursor`.
    std::set<std::string> begun_after_done;  ///< The tasks of which a run began after one had ended `done`.
};

struct executor_options {
    std::string id;
    std::string service{};
    std::string zone;
    std::string kind = "a";
    std::string rack{};
    unsigned cpu = 16000;
    unsigned memory_mb = 65536;
    milliseconds max_hold{10000};
    milliseconds gang_timeout{3000};
    milliseconds heartbeat{1500};
};

class executor {
public:
    executor(executor_options options, store& registry, work_table& work, case_record& record)
        : options(std::move(options)), registry(registry), work(work), record(record),
          server([this](const http_request& request) { return this->serve(request); }) {
        std::thread{[this] { this->run_tasks(); }}.detach();
        std::thread{[this] { this->write_entries(); }}.detach();
    }

    [[nodiscard]] const executor_options& description() const { return this->options; }

    /// It answers starts with 503 and does nothing; its health is good and it answers all other calls.
    void refuse_starts(bool value) { this->refuses = value; }

    /// Makes it fail all requests without an answer and without doing anything, or ends that. Its runs go on.
    void set_mute(bool value) {
        this->mute = value;
        this->record.add("executor " + this->options.id +
                         (value ? " fails all requests without an answer" : " answers again"));
    }

    /// The first start of a task gets no answer and is carried out late: when the executor is back after a restart.
    void carry_out_late(const std::string& task) {
        const std::lock_guard guard{this->mutex};
        this->late_task = task;
        this->late_start.reset();
    }

    /// It crashes and starts again under its id and address; it then holds and knows nothing of before.
    void restart(milliseconds down_time) {
        {
            const std::lock_guard guard{this->mutex};
            this->down = true;
            this->life++;
            for (const auto& [task, run] : this->running) {
                this->count_end(task, run.run);
            }
            this->running.clear();
            this->ended_runs.clear();
            this->ends.clear();
            this->end_count = 0;
            this->highest_token = 0;
            this->lease_until = 0;
            this->changed.notify_all();
        }
        this->record.add("executor " + this->options.id + " crashed");
        std::this_thread::sleep_for(down_time);
        std::optional<nlohmann::json> late;
        {
            const std::lock_guard guard{this->mutex};
            this->started = steady_clock::now();
            this->born_ms = unix_ms();
            this->down = false;
            late.swap(this->late_start);
        }
        this->record.add("executor " + this->options.id + " is back under its id");
        this->put_entry(1);
        if (late) {
            this->record.add("the start of " + late->at("task").get<std::string>() + " that got no answer is carried out late at " +
                             this->options.id);
            std::unique_lock lock{this->mutex};
            this->order(*late, "/run-start", lock);
        }
    }

    /// It crashes and is lost for good: everything on it ends, and nothing answers at its address.
    void crash() {
        const std::lock_guard guard{this->mutex};
        this->gone = true;
        for (const auto& [task, run] : this->running) {
            this->count_end(task, run.run);
        }
        this->running.clear();
        this->changed.notify_all();
        this->record.add("executor " + this->options.id + " (rack " + this->options.rack +
                         ") crashed and is lost for good");
    }

    [[nodiscard]] bool is_gone() const { return this->gone; }

    [[nodiscard]] std::size_t runs() {
        const std::lock_guard guard{this->mutex};
        return this->running.size();
    }

private:
    struct run_state {
        unsigned run = 0;
        steady_clock::time_point began;
    };

    [[nodiscard]] std::int64_t clock_ms() const {
        return 400000 +
               std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->started).count();
    }

    static std::string step_of(const std::string& task) { return task.substr(0, task.rfind('.')); }
    static std::string job_of(const std::string& task) { return task.substr(0, task.find('.')); }

    http_response serve(const http_request& request) {
        if (request.path != "/health" && this->mute) {
            while (this->mute) {
                std::this_thread::sleep_for(milliseconds{5});
            }
            return {.status = 0};
        }
        const auto response = this->serve_sound(request);
        return request.path != "/health" && this->mute ? http_response{.status = 0} : response;
    }

    http_response serve_sound(const http_request& request) {
        if (this->gone || this->down) {
            return {.status = 0};
        }
        const auto expected = request.headers.find("X-Rattanmount-Expected-Instance");
        if (expected != request.headers.end() && expected->second != this->options.id) {
            return {.status = 421};
        }
        if (request.path == "/health") {
            return {};
        }
        const auto body = nlohmann::json::parse(request.body);
        std::unique_lock lock{this->mutex};
        if (request.path == "/run-start" && this->refuses) {
            this->record.add("start of " + body.at("task").get<std::string>() + " at " + this->options.id +
                             ": refused with 503, nothing done");
            return {.status = 503};
        }
        if (request.path == "/run-start" && !this->late_start && body.at("task") == this->late_task) {
            this->late_start = body;
            this->late_task.clear();
            this->record.add("start of " + body.at("task").get<std::string>() + " run " +
                             std::to_string(body.at("run").get<unsigned>()) + " at " + this->options.id +
                             ": no answer, to be carried out late");
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::seconds{1}); // The sender's limit is shorter.
            return {.status = 0};
        }
        return this->order(body, request.path, lock);
    }

    /// Carries out an order.
    http_response order(const nlohmann::json& body, const std::string& path,
                        std::unique_lock<std::mutex>& lock) {
        const auto token = body.value("fencingToken", std::uint64_t{0});
        if (token < this->highest_token) {
            return this->refusal("fence");
        }
        this->highest_token = token;
        if (path == "/run-start") {
            return this->start(body);
        }
        if (path == "/run-stop") {
            this->end(body.at("task"), body.at("run"), "stopped");
            auto& ended = this->ended_runs[body.at("task")];
            ended = std::max(ended, body.at("run").get<unsigned>());
            return {.body = nlohmann::json{{"clockMs", this->clock_ms()}}.dump()};
        }
        if (path == "/hold") {
            return this->hold(body, lock);
        }
        return {.status = 400};
    }

    http_response refusal(const char* reason) const {
        return {.status = 409,
                .body = nlohmann::json{{"clockMs", this->clock_ms()}, {"reason", reason}}.dump()};
    }

    void extend(const nlohmann::json& body) {
        if (body.contains("deadlineMs")) {
            const auto most = this->clock_ms() + this->options.max_hold.count();
            this->lease_until =
                std::max(this->lease_until, std::min(body.at("deadlineMs").get<std::int64_t>(), most));
        }
    }

    http_response start(const nlohmann::json& body) {
        const std::string task = body.at("task");
        const unsigned run = body.at("run");
        const http_response done{.body = nlohmann::json{{"clockMs", this->clock_ms()}}.dump()};
        if (body.at("deadlineMs").get<std::int64_t>() <= this->clock_ms()) {
            return this->refusal("late");
        }
        this->extend(body);
        const auto present = this->running.find(task);
        if (present != this->running.end() && present->second.run == run) {
            return done;
        }
        if (run <= this->ended_runs[task] || present != this->running.end()) {
            return this->refusal("old");
        }
        const auto now = steady_clock::now();
        this->running[task] = {.run = run, .began = now};
        this->record.add("run " + std::to_string(run) + " of " + task + " begins at " + this->options.id +
                         " (rack " + this->options.rack + ")");
        {
            const std::lock_guard guard{this->work.mutex};
            this->work.begun[job_of(task)]++;
            this->work.at_work[job_of(task)]++;
            this->work.gangs[{step_of(task), run}].emplace(task, now);
            if (this->work.done.contains(task)) {
                this->work.begun_after_done.insert(task);
                this->record.add("BEGINS AGAIN after it has ended done: " + task);
            }
            auto& runs = this->work.runs_of[task];
            runs.emplace(run, this->options.id);
            if (runs.size() > 1) {
                this->work.run_twice.insert(task);
                std::string all;
                for (const auto& [number, id] : runs) {
                    all += " run " + std::to_string(number) + " at " + id + ";";
                }
                this->record.add("TWO RUNS of " + task + " at the same time:" + all);
            }
        }
        if (this->work.on_begin) {
            this->work.on_begin(task, run, this->options.id);
        }
        this->changed.notify_all();
        return done;
    }

    http_response hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock) {
        this->extend(body);
        std::erase_if(this->ends, [&](const auto& row) {
            const bool noted =
                row.at(0).template get<std::uint64_t>() <= body.at("ackCursor").get<std::uint64_t>();
            if (noted && row.at(3) == "done") {
                const std::lock_guard guard{this->work.mutex};
                this->work.done_noted.insert(row.at(1).template get<std::string>());
            }
            return noted;
        });
        const auto known = this->end_count;
        const auto life_before = this->life;
        this->changed.wait_for(lock, milliseconds{body.value("waitMs", 0)}, [&] {
            return this->gone || this->life != life_before || this->end_count > known || !this->ends.empty();
        });
        if (this->gone || this->life != life_before) {
            return {.status = 0};
        }
        auto rows = nlohmann::json::array();
        for (const auto& [task, run] : this->running) {
            rows.push_back({task, run.run, "", 100, 0});
        }
        constexpr std::size_t most_listed = 500;
        const auto listed = std::min(this->ends.size(), most_listed);
        const std::vector<nlohmann::json> first_ends{this->ends.begin(),
                                                     this->ends.begin() + static_cast<std::ptrdiff_t>(listed)};
        return {.body = nlohmann::json{{"clockMs", this->clock_ms()},
                                       {"born", this->born_ms},
                                       {"running", rows},
                                       {"finished", first_ends}}
                            .dump()};
    }

    void count_end(const std::string& task, unsigned run) {
        const std::lock_guard guard{this->work.mutex};
        this->work.at_work[job_of(task)]--;
        this->work.runs_of[task].erase({run, this->options.id});
    }

    /// Ends a run if it is there.
    void end(const std::string& task, unsigned run, const std::string& how) {
        const auto present = this->running.find(task);
        if (present == this->running.end() || present->second.run != run) {
            return;
        }
        this->running.erase(present);
        this->count_end(task, run);
        if (how == "done") {
            const std::lock_guard guard{this->work.mutex};
            this->work.done.insert(task);
        }
        auto& ended = this->ended_runs[task];
        ended = std::max(ended, run);
        this->ends.push_back({++this->end_count, task, run, how, ""});
        this->record.add("run " + std::to_string(run) + " of " + task + " ends at " + this->options.id +
                         ": " + how);
        this->changed.notify_all();
    }

    /// Returns how a run ends now; empty if it goes on.
    std::string end_of(const std::string& task, const run_state& run) {
        const auto now = steady_clock::now();
        const std::lock_guard guard{this->work.mutex};
        const auto& step = this->work.steps[step_of(task)];
        if (run.run <= step.failing_runs) {
            return now - run.began >= step.fails_after ? "failed" : "";
        }
        if (step.lasts) {
            return "";
        }
        if (!step.gang) {
            return now - run.began >= step.work ? "done" : "";
        }
        const auto& members = this->work.gangs[{step_of(task), run.run}];
        if (members.size() < step.count) {
            return now - run.began >= this->options.gang_timeout ? "alone" : "";
        }
        auto last = run.began;
        for (const auto& [member, began] : members) {
            last = std::max(last, began);
        }
        return now - last >= step.work ? "done" : "";
    }

    void run_tasks() {
        while (!this->gone) {
            std::this_thread::sleep_for(milliseconds{10});
            const std::lock_guard guard{this->mutex};
            const bool lapsed = this->clock_ms() > this->lease_until;
            const auto present = this->running;
            for (const auto& [task, run] : present) {
                const auto how = lapsed ? "lapsed" : this->end_of(task, run);
                if (!how.empty()) {
                    this->end(task, run.run, how);
                }
            }
        }
    }

    void put_entry(int sequence) {
        std::int64_t clock = 0;
        std::int64_t born = 0;
        {
            const std::lock_guard guard{this->mutex};
            clock = this->clock_ms();
            born = this->born_ms;
        }
        this->registry.put(
            "keyed.servers", this->options.id,
            nlohmann::json{
                {"service", this->options.service},
                {"address", this->server.address()},
                {"zone", this->options.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"capacity", {{"cpu", this->options.cpu}, {"memMb", this->options.memory_mb}, {"gpus", 0}}},
                {"labels", {this->options.kind, this->options.rack}},
                {"clockMs", clock},
                {"born", born},
                {"sequence", sequence}}
                .dump());
    }

    void write_entries() {
        for (int sequence = 1; !this->gone; sequence++) {
            if (!this->down) {
                this->put_entry(sequence);
            }
            const auto next = steady_clock::now() + this->options.heartbeat;
            while (!this->gone && steady_clock::now() < next) {
                std::this_thread::sleep_for(milliseconds{20});
            }
        }
        std::this_thread::sleep_for(3 * this->options.heartbeat);
        this->registry.put("keyed.servers", this->options.id, ""); // The entry expires.
    }

    static std::int64_t unix_ms() {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    executor_options options;
    store& registry;
    work_table& work;
    case_record& record;
    steady_clock::time_point started = steady_clock::now();
    std::int64_t born_ms = unix_ms();
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> gone{false};
    std::atomic<bool> refuses{false};
    std::atomic<bool> mute{false};
    std::atomic<bool> down{false};
    unsigned life = 0;
    std::string late_task;                   ///< The task whose next start is carried out late.
    std::optional<nlohmann::json> late_start; ///< The start that is to be carried out late.
    std::uint64_t highest_token = 0;
    std::int64_t lease_until = 0;
    std::map<std::string, run_state> running;
    std::map<std::string, unsigned> ended_runs;
    std::vector<nlohmann::json> ends;
    std::uint64_t end_count = 0;
    http_server server;
};

} // namespace stand_in
