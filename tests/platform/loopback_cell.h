#pragma once

#include "external/http_caller.h"
#include "tests/end_to_end/process.h"
#include "tests/platform/stand_in_store.h"
#include "tests/platform/stand_in_worker.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rattanmount::tests {

using namespace std::chrono_literals;
using nlohmann::json;

/// The host name of all routes.
constexpr const char* caller_host = "queue.example";

inline std::string free_address() {
    const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    return "127.0.0.1:" + std::to_string(socket.address().port());
}

/// A cell of host processes on loopback; the test doubles of the platform run in the test process.
class loopback_cell {
public:
    loopback_cell(int hosts, int workers, const std::string& configuration) {
        for (int i = 0; i < workers; i++) {
            this->workers.push_back(std::make_unique<stand_in_worker>("w" + std::to_string(i), this->pool));
            this->store.put("keyed.servers", this->workers.back()->id(), this->workers.back()->entry("svc"));
        }
        this->put_configuration(configuration);
        for (int i = 0; i < hosts; i++) {
            this->callers.push_back(core::endpoint::parse(free_address()));
            this->ready.push_back(core::endpoint::parse(free_address()));
            this->add_process(i);
        }
    }

    /// Adds an entry of another writer to those of the workers.
    void put_worker_entry(const std::string& key, const std::string& value) {
        this->store.put("keyed.servers", key, value);
    }

    void put_configuration(const std::string& value) { this->store.put("keyed.op", "config", value); }

    void kill(int host) { this->processes[static_cast<std::size_t>(host)]->kill(); }

    /// Waits until a host is ready. If it is not, the failed check says whether its process still runs and
    /// what it answered last.
    bool wait_ready(int host) {
        const auto index = static_cast<std::size_t>(host);
        int status = 0;
        const bool ready = wait_for(10s, [&] {
            status = this->readiness(host);
            return status == 200;
        });
        if (!ready) {
            UNSCOPED_INFO("host " << host << (this->processes[index]->is_running() ? " runs" : " has ended")
                                  << ", last status " << status);
        }
        return ready;
    }

    /// @return the status with which a host answers whether it is ready.
    int readiness(int host) {
        return this->client
            .call(this->ready[static_cast<std::size_t>(host)], {.method = "GET", .target = "/ready"}, 1s)
            .status;
    }

    int submit(int host, const std::string& key, int tasks, int work_ms) {
        const json body{{"spec", std::to_string(work_ms)},
                        {"steps",
                         {{{"count", tasks}, {"cpu", 1000}, {"memMb", 1000}, {"estimatedMs", work_ms}},
                          {{"count", 1}, {"cpu", 1000}, {"memMb", 1000}, {"after", {0}}}}}};
        return this->call(host, "POST", key, body.dump()).status;
    }

    std::string state(int host, const std::string& key) {
        const auto answer = this->call(host, "GET", key, "");
        return answer.status == 200 ? json::parse(answer.body).value("state", "")
                                    : std::to_string(answer.status);
    }

    /// @param headers sent beside the type of the content.
    external::http_answer call(int host, const std::string& method, const std::string& key,
                               const std::string& body, std::vector<external::http_header> headers = {}) {
        headers.push_back({"Content-Type", "application/json"});
        return this->client.call(this->callers[static_cast<std::size_t>(host)],
                                 {.method = method,
                                  .target = "/jobs/" + key,
                                  .headers = std::move(headers),
                                  .body = body,
                                  .host = caller_host},
                                 4s);
    }

    static bool wait_for(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    std::multiset<std::string> started() {
        std::multiset<std::string> all;
        for (const auto& worker : this->workers) {
            for (const auto& task : worker->started()) {
                all.insert(task);
            }
        }
        return all;
    }

    stand_in_store& log() { return this->store; }

private:
    void add_process(int number) {
        const auto index = static_cast<std::size_t>(number);
        const json settings{{"host", "host-" + std::to_string(number)},
                            {"data_centre", "here"},
                            {"listen",
                             {{"callers", this->callers[index].text()},
                              {"ready", this->ready[index].text()},
                              {"peers", free_address()}}},
                            {"log", {{"address", this->store.endpoint().text()}, {"stream", "cell"}}},
                            {"logs", {{"level", "warning"}, {"format", "text"}}}};
        this->files.push_back(std::make_unique<Poco::TemporaryFile>());
        std::ofstream{this->files.back()->path()} << settings.dump();
        this->processes.push_back(std::make_unique<process>(
            std::string{RATTANMOUNT_BINARY_FOLDER} + "/rattanmount",
            std::vector<std::string>{"serve", "--settings", this->files.back()->path()}));
    }

    runtime::elastic_pool pool{{.max_threads = 400}};
    stand_in_store store{this->pool};
    std::vector<std::unique_ptr<stand_in_worker>> workers;
    std::vector<core::endpoint> callers;
    std::vector<core::endpoint> ready;
    std::vector<std::unique_ptr<Poco::TemporaryFile>> files;
    external::http_caller client{{.max_connections = 64, .max_idle = 64, .idle_limit = 10s}, false};
    std::vector<std::unique_ptr<process>> processes;
};

/// @return the key of a job.
inline std::string make_key(int number) {
    auto text = std::to_string(number);
    constexpr std::size_t length = 16;
    return std::string(length - text.size(), '0') + text;
}

} // namespace rattanmount::tests
