#pragma once

// A small deployment: the store, executors, and hosts as processes of their own. The bounds are those of the
// site files tabua-rattan and armor-detaxe.

#include "executor.h"
#include "http.h"
#include "record.h"
#include "store.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace stand_in {

/// The exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct queue_options {
    std::string name;
    std::string path_prefix;
    int priority = 0;
    int max_attempts = 3;
};

struct host_process {
    std::string name;
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    pid_t pid = -1;
};

class cell {
public:
    static constexpr const char* host_header = "nony24.example";
    static constexpr const char* service = "huvo11a";

    cell(std::string program, std::string folder, case_record& record)
        : program(std::move(program)), folder(std::move(folder)), record(record) {}

    ~cell() = default;
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    void put_configuration(int version, const std::vector<queue_options>& queues) {
        auto routes = nlohmann::json::array();
        for (const auto& queue : queues) {
            routes.push_back({{"name", queue.name},
                              {"host", host_header},
                              {"pathPrefix", queue.path_prefix},
                              {"type", "non_idempotent"},
                              {"timeoutMs", 3000},
                              {"targetLatencyMs", 1200},
                              {"priority", queue.priority},
                              {"service", service},
                              {"maxAttempts", queue.max_attempts},
                              {"stretch", 2.2}});
        }
        const nlohmann::json service_entry{{"name", service},
                                           {"healthPath", "/health"},
                                           {"maxConnections", 64},
                                           {"protocol", "h1"},
                                           {"tls", false},
                                           {"enforcesCapacity", false},
                                           {"standby", false}};
        this->log.put("keyed.op", "config",
                      nlohmann::json{{"version", version},
                                     {"routes", routes},
                                     {"services", nlohmann::json::array({service_entry})},
                                     {"limits",
                                      {{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", 262144},
                                       {"headerTimeoutMs", 3000},
                                       {"idleTimeoutMs", 15000}}}}
                          .dump());
    }

    executor& add_executor(executor_options options) {
        options.service = service;
        this->executors.push_back(
            std::make_unique<executor>(std::move(options), this->log, this->work, this->record));
        return *this->executors.back();
    }

    void start_host(const std::string& name, const std::string& zone) {
        host_process host{.name = name, .callers = free_port(), .ready = free_port()};
        const auto peers = free_port();
        const auto path = this->folder + "/" + name + ".settings";
        const auto at = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        std::ofstream{path} << nlohmann::json{
            {"host", name},
            {"data_centre", zone},
            {"listen", {{"callers", at(host.callers)}, {"ready", at(host.ready)}, {"peers", at(peers)}}},
            {"log",
             {{"address", this->log.address()},
              {"stream", "cell"},
              {"max_record_bytes", 262144},
              {"max_request_bytes", 2097152}}},
            {"advisor", ""},
            {"workers", {{"longest_lease_ms", 10000}, {"stop_time_ms", 200}}},
            {"max_configuration_age_ms", 2000},
            {"processor_share", 0.25},
            {"link_mbps", 1000.0},
            {"shutdown_grace_s", 6},
            {"logs", {{"level", "info"}, {"format", "text"}}}};
        this->launch(host);
        this->record.add("host " + name + " started");
        this->hosts.push_back(host);
    }

    /// Ends all hosts. The stand-ins' threads end with the process.
    void stop_hosts() {
        for (auto& host : this->hosts) {
            if (host.pid > 0) {
                ::kill(host.pid, SIGKILL);
                ::waitpid(host.pid, nullptr, 0);
                host.pid = -1;
            }
        }
    }

    /// Returns the index of the host that started to lead last, by the logs of the hosts.
    std::size_t leader() const {
        std::size_t found = 0;
        std::string latest;
        for (std::size_t i = 0; i < this->hosts.size(); i++) {
            std::ifstream log{this->folder + "/" + this->hosts[i].name + ".log"};
            for (std::string line; std::getline(log, line);) {
                const auto time = line.substr(0, line.find(' '));
                if (line.find("started to lead the cell") != std::string::npos && time > latest) {
                    latest = time;
                    found = i;
                }
            }
        }
        return found;
    }

    /// Kills a host with SIGKILL.
    void kill_host(std::size_t index) {
        auto& host = this->hosts.at(index);
        ::kill(host.pid, SIGKILL);
        this->record.add("host " + host.name + " killed (SIGKILL)");
        ::waitpid(host.pid, nullptr, 0);
        host.pid = -1;
    }

    /// Starts a killed host again with the same settings.
    void restart_host(std::size_t index) {
        this->launch(this->hosts.at(index));
        this->record.add("host " + this->hosts.at(index).name + " started again");
    }

    /// Returns false if the hosts are not ready in time.
    bool wait_until_ready(std::chrono::seconds limit) {
        const auto deadline = steady_clock::now() + limit;
        for (const auto& host : this->hosts) {
            while (call(host.ready, "GET", "/ready", {}, "", milliseconds{500}).status != 200) {
                if (steady_clock::now() >= deadline) {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds{100});
            }
        }
        return true;
    }

    /// Sends a client's request to one of the hosts and records it with its answer.
    http_response send(std::size_t host, const std::string& method, const std::string& path,
                       const std::string& body = "") {
        const auto answer = call(this->hosts.at(host).callers, method, path,
                                 {{"Host", host_header},
                                  {"Content-Type", "application/json"},
                                  {"X-Rattanmount-Timeout-Ms", "3000"}},
                                 body, milliseconds{3000});
        this->record.add(method + " " + path + " to " + this->hosts.at(host).name + " " + body + " -> " +
                         std::to_string(answer.status) + " " + answer.body);
        return answer;
    }

    /// Submits a job whose steps the executors are to run as stated.
    http_response submit(std::size_t host, const queue_options& queue, const std::string& id,
                         const nlohmann::json& steps, const std::vector<step_kind>& kinds) {
        {
            const std::lock_guard guard{this->work.mutex};
            for (std::size_t i = 0; i < kinds.size(); i++) {
                this->work.steps[id + ".0." + std::to_string(i)] = kinds[i];
            }
        }
        return this->send(host, "POST", queue.path_prefix + id,
                          nlohmann::json{{"spec", "job " + id}, {"steps", steps}}.dump());
    }

    unsigned begun(const std::string& id) {
        const std::lock_guard guard{this->work.mutex};
        return this->work.begun[id];
    }

    unsigned at_work(const std::string& id) {
        const std::lock_guard guard{this->work.mutex};
        return this->work.at_work[id];
    }

    std::vector<host_process> hosts;
    std::vector<std::unique_ptr<executor>> executors;
    store log;
    work_table work;

private:
    void launch(host_process& host) const {
        const auto settings = this->folder + "/" + host.name + ".settings";
        const auto output = this->folder + "/" + host.name + ".log";
        host.pid = ::fork();
        if (host.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            ::execl(this->program.c_str(), this->program.c_str(), "serve", "--settings", settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    std::string program;
    std::string folder;
    case_record& record;
};

/// Runs a case and ends the process with its exit code.
/// The arguments are the program, a temporary folder and the file of the record.
[[noreturn]] inline void run_case(int count, char** arguments, int (*run)(cell&, case_record&)) {
    if (count != 4) {
        std::_Exit(could_not_run);
    }
    // Neither is destroyed: the threads of the stand-ins use them until the process ends.
    auto* const record = new case_record{arguments[3]};
    auto* const deployment = new cell{arguments[1], arguments[2], *record};
    int result = could_not_run;
    try {
        result = run(*deployment, *record);
    } catch (const std::exception& error) {
        std::cout << "could not run: " << error.what() << '\n';
    }
    deployment->stop_hosts();
    record->add("exit code " + std::to_string(result));
    std::cout.flush();
    std::_Exit(result);
}

/// Returns whether the case is run with its disruption.
inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

} // namespace stand_in
