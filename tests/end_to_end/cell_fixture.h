#pragma once

#include "tests/end_to_end/process.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// The answer to an HTTP call of a test.
struct http_result {
    int status = 0; ///< 0: no answer.
    nlohmann::json body;

    /// @param field the name of a field of the body.
    /// @return its text; "" where it is none.
    [[nodiscard]] std::string text(const std::string& field) const;
};

/// @param object a JSON object.
/// @param field the name of a field.
/// @return its text; "" where it is none.
std::string text_of(const nlohmann::json& object, const std::string& field);

/// Calls a process over HTTP.
/// @param method "GET", "POST", "PUT" or "DELETE".
/// @param port where it listens on 127.0.0.1.
/// @param path the path and query.
/// @param body sent as it is.
/// @param limit how long to wait.
/// @return its answer; status 0 where none came.
http_result http(const std::string& method, int port, const std::string& path, const std::string& body = "",
                 std::chrono::milliseconds limit = std::chrono::seconds{8});

struct cell_fixture_options {
    int hosts = 3;
    int shards = 4;
    int workers_per_data_centre = 2;
    int executors_per_data_centre = 2;
    std::chrono::milliseconds lease_term{2000};
    std::chrono::milliseconds task_hold{4000};
};

/// A whole small cell of separate processes on loopback: two data centres, the platform's stand-ins and the
/// entry hosts.
class cell_fixture {
public:
    explicit cell_fixture(cell_fixture_options options);
    ~cell_fixture();
    cell_fixture(const cell_fixture&) = delete;
    cell_fixture& operator=(const cell_fixture&) = delete;

    /// Starts entry host number `index`, from 0.
    void start_host(int index);
    /// Waits until all running hosts are ready and every shard is served.
    void wait_until_serving();
    /// Adds the pools and the team that the tests use, and checks that the note is accepted.
    void apply_first_note();

    [[nodiscard]] int front_port(int index) const;
    [[nodiscard]] process& host(int index) { return *this->host_processes.at(index); }
    [[nodiscard]] process& worker(const std::string& name) { return *this->worker_processes.at(name); }
    [[nodiscard]] process& executor(const std::string& name) { return *this->executor_processes.at(name); }
    [[nodiscard]] int worker_port(const std::string& name) const { return this->worker_ports.at(name); }
    [[nodiscard]] int executor_port(const std::string& name) const { return this->executor_ports.at(name); }
    [[nodiscard]] std::vector<std::string> workers() const;
    [[nodiscard]] std::vector<std::string> executors() const;
    [[nodiscard]] int log_port() const { return this->log; }
    [[nodiscard]] int fleet_port() const { return this->fleet; }

    /// Hands in a batch job whose tasks run for a time.
    http_result submit(int host, const std::string& key, std::chrono::milliseconds run_time, int tasks = 1,
                       std::chrono::milliseconds limit = std::chrono::seconds{5});
    /// Sends a preview and waits for it.
    http_result preview(int host, const std::string& key);
    /// Waits until a job has ended.
    /// @return its last status.
    nlohmann::json wait_for_end(int host, const std::string& key, std::chrono::milliseconds limit);
    /// The journals of all workers or executors that answer, each entry with the field "at_process".
    [[nodiscard]] std::vector<nlohmann::json> worker_journal() const;
    [[nodiscard]] std::vector<nlohmann::json> executor_journal() const;

private:
    void start_platform();
    void write_fleet();
    [[nodiscard]] std::string settings_of(int index) const;

    cell_fixture_options options;
    std::string folder;
    std::unique_ptr<process> log_process;
    std::unique_ptr<process> fleet_process;
    std::map<std::string, std::unique_ptr<process>> worker_processes;
    std::map<std::string, std::unique_ptr<process>> executor_processes;
    std::map<std::string, int> worker_ports;
    std::map<std::string, int> executor_ports;
    std::vector<std::unique_ptr<process>> host_processes;
    std::vector<int> front_ports;
    std::vector<int> inner_ports;
    int log = 0;
    int fleet = 0;
};

/// Waits until something holds, sleeping between two looks.
/// @return whether it held in time.
bool wait_until(const std::function<bool()>& holds, std::chrono::milliseconds limit);

} // namespace rattanmount::tests
