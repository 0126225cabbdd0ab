#include "tests/platform/stand_in_worker.h"

#include <nlohmann/json.hpp>

namespace rattanmount::tests {

namespace {

using nlohmann::json;

front::http_reply json_reply(int status, const json& body) {
    return {.status = static_cast<front::http_status>(status), .body = body.dump()};
}

} // namespace

stand_in_worker::stand_in_worker(std::string id, runtime::elastic_pool& pool)
    : name(std::move(id)),
      server({.listen = {.address = "127.0.0.1", .port = 0, .path = ""},
              .handle = [this](const auto& request) { return this->handle(request); },
              .execute = [&pool](std::function<void()> work) { pool.post(std::move(work)); }}) {
    this->server.start();
    this->timer = std::jthread{[this](const std::stop_token& stop) {
        std::unique_lock lock{this->mutex};
        while (!stop.stop_requested()) {
            auto next = clock::now() + std::chrono::seconds{1};
            for (const auto& [task, run] : this->runs) {
                next = std::min(next, run.ends_at);
            }
            this->changed.wait_until(lock, stop, next, [&] { return next <= clock::now(); });
            this->end_runs();
        }
    }};
}

stand_in_worker::~stand_in_worker() {
    this->timer.request_stop();
    this->changed.notify_all();
    this->timer.join();
    this->server.stop(std::chrono::seconds{3});
}

std::string stand_in_worker::entry(const std::string& service) const {
    const json body{{"service", service},
                    {"address", this->server.endpoint().text()},
                    {"zone", "here"},
                    {"state", "ready"},
                    {"born", 1},
                    {"capacity", {{"cpu", 64000}, {"memMb", 262144}, {"gpus", 0}}},
                    {"labels", {"a", "r1"}},
                    {"sequence", 1}};
    return body.dump();
}

std::vector<std::string> stand_in_worker::started() {
    const std::lock_guard guard{this->mutex};
    return this->started_tasks;
}

front::http_reply stand_in_worker::handle(const front::http_request& request) {
    if (request.target == "/run-start") {
        return this->start(request.body);
    }
    if (request.target == "/run-stop") {
        return this->stop(request.body);
    }
    return this->hold(request.body);
}

front::http_reply stand_in_worker::start(const std::string& body) {
    const auto order = json::parse(body);
    const std::lock_guard guard{this->mutex};
    if (order.at("fencingToken").get<std::int64_t>() < this->token) {
        return json_reply(409, {{"clockMs", this->clock_ms()}, {"reason", "fence"}});
    }
    this->token = order.at("fencingToken").get<std::int64_t>();
    const auto task = order.at("task").get<std::string>();
    const auto length = std::chrono::milliseconds{std::stoi(order.at("spec").get<std::string>())};
    this->runs[task] = {.task = task, .number = order.at("run").get<int>(), .ends_at = clock::now() + length};
    this->started_tasks.push_back(task);
    this->changed.notify_all();
    return json_reply(200, {{"clockMs", this->clock_ms()}});
}

front::http_reply stand_in_worker::stop(const std::string& body) {
    const auto order = json::parse(body);
    const std::lock_guard guard{this->mutex};
    const auto found = this->runs.find(order.at("task").get<std::string>());
    if (found != this->runs.end()) {
        this->ended.push_back({this->next_end_number++, found->first, found->second.number, "stopped"});
        this->runs.erase(found);
        this->changed.notify_all();
    }
    return json_reply(200, {{"clockMs", this->clock_ms()}});
}

front::http_reply stand_in_worker::hold(const std::string& body) {
    const auto order = json::parse(body);
    std::unique_lock lock{this->mutex};
    this->token = std::max(this->token, order.at("fencingToken").get<std::int64_t>());
    const auto acknowledged = order.value("ackCursor", std::uint64_t{0});
    std::erase_if(this->ended, [&](const ended_run& run) { return run.number <= acknowledged; });
    this->changed.wait_for(lock, std::chrono::milliseconds{order.value("waitMs", 0)},
                           [this] { return !this->ended.empty(); });
    json running = json::array();
    for (const auto& [task, run] : this->runs) {
        running.push_back({task, run.number, "", 100, 0});
    }
    json finished = json::array();
    for (const auto& run : this->ended) {
        finished.push_back({run.number, run.task, run.run, run.result, ""});
    }
    return json_reply(
        200, {{"clockMs", this->clock_ms()}, {"born", 1}, {"running", running}, {"finished", finished}});
}

void stand_in_worker::end_runs() {
    const auto now = clock::now();
    std::erase_if(this->runs, [&](const auto& entry) {
        if (entry.second.ends_at > now) {
            return false;
        }
        this->ended.push_back({this->next_end_number++, entry.first, entry.second.number, "done"});
        return true;
    });
    this->changed.notify_all();
}

long stand_in_worker::clock_ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - this->created_at).count();
}

} // namespace rattanmount::tests
