#pragma once

#include "front/http_server.h"
#include "runtime/elastic_pool.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rattanmount::tests {

/// A test double of one of the platform's workers. Each task lasts as many milliseconds as its payload says.
class stand_in_worker {
public:
    stand_in_worker(std::string id, runtime::elastic_pool& pool);
    ~stand_in_worker();
    stand_in_worker(const stand_in_worker&) = delete;
    stand_in_worker& operator=(const stand_in_worker&) = delete;

    /// Returns the registration entry of this worker.
    /// @param service the service that the worker belongs to.
    [[nodiscard]] std::string entry(const std::string& service) const;

    /// Returns the tasks that were started, in order.
    [[nodiscard]] std::vector<std::string> started();

    [[nodiscard]] const std::string& id() const { return this->name; }

private:
    using clock = std::chrono::steady_clock;

    struct run {
        std::string task;
        int number = 0;
        clock::time_point ends_at;
        bool done = false;
    };

    front::http_reply handle(const front::http_request& request);
    front::http_reply start(const std::string& body);
    front::http_reply stop(const std::string& body);
    front::http_reply hold(const std::string& body);
    void end_runs();
    [[nodiscard]] long clock_ms() const;

    std::string name;
    clock::time_point created_at = clock::now();
    std::mutex mutex;
    std::condition_variable_any changed;
    std::int64_t token = 0;
    std::map<std::string, run> runs;
    std::vector<std::string> started_tasks;
    struct ended_run {
        std::uint64_t number;
        std::string task;
        int run;
        std::string result;
    };
    std::vector<ended_run> ended;
    std::uint64_t next_end_number = 1;
    front::http_server server;
    std::jthread timer;
};

} // namespace rattanmount::tests
