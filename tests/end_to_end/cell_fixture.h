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

/// The response to an HTTP request of a test.
struct http_result {
    int status = 0;      ///< 0: no response.
    nlohmann::json body; ///< A JSON string with the whole body if that is not JSON.

    /// Returns a text field of the body, or "" if there is none of that name.
    [[nodiscard]] std::string text(const std::string& field) const;
};

/// Returns a text field of a JSON object, or "" if there is none of that name.
std::string text_of(const nlohmann::json& object, const std::string& field);

/// Sends an HTTP request to a process on the loopback address.
/// @param method "GET", "POST", "PUT" or "DELETE".
/// @param port the port on 127.0.0.1.
/// @param path the path and query.
/// @param body the body of the request.
/// @param limit the timeout.
/// @return the response; status 0 if there was none in time.
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

/// A small cell of separate processes on loopback: entry hosts, workers and executors in two data centres,
/// and the stand-ins of the platform.
///
/// Workers are named w and executors e, followed by the number of the data centre and their number in it,
/// both from 1: w11 is the first worker of the first data centre, e21 the first executor of the second.
///
/// The constructor starts all processes, the destructor kills them. Used by the thread of the test; http(),
/// submit(), preview() and the ports may be used by several threads.
class cell_fixture {
public:
    explicit cell_fixture(cell_fixture_options options);
    ~cell_fixture();
    cell_fixture(const cell_fixture&) = delete;
    cell_fixture& operator=(const cell_fixture&) = delete;

    /// Starts an entry host.
    /// @param index its number, from 0.
    void start_host(int index);
    /// Waits up to 20 s until all hosts are live and every shard has an owner; fails the test otherwise.
    void wait_until_serving();
    /// Applies a release note that adds the pools and the team of the tests, and requires that it is
    /// accepted.
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

    /// Submits a batch job.
    /// @param run_time the run time of each task.
    /// @param limit how long the entry host may take to answer.
    http_result submit(int host, const std::string& key, std::chrono::milliseconds run_time, int tasks = 1,
                       std::chrono::milliseconds limit = std::chrono::seconds{5});
    /// Sends an idempotent quick request that runs for 20 ms, and waits for the response.
    http_result preview(int host, const std::string& key);
    /// Waits until a job has ended or the limit has passed.
    /// @return the last status of the job.
    nlohmann::json wait_for_end(int host, const std::string& key, std::chrono::milliseconds limit);
    /// Returns the journals of all workers that answer. The field "at_process" of an entry names the worker.
    [[nodiscard]] std::vector<nlohmann::json> worker_journal() const;
    /// Returns the journals of all executors that answer. The field "at_process" of an entry names the
    /// executor.
    [[nodiscard]] std::vector<nlohmann::json> executor_journal() const;

private:
    void start_platform();
    void publish_fleet();
    [[nodiscard]] std::string settings_json(int index) const;

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

/// Polls a condition every 50 ms.
/// @return whether the condition was met within the limit.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit);

} // namespace rattanmount::tests
