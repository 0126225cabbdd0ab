#pragma once

#include "executor.h"
#include "hosts.h"

#include <iostream>

namespace review {

constexpr const char* queue_host = "queue.example";
constexpr const char* queue_prefix = "/batch/";

/// A small deployment on loopback: the store, one service with its executors, and the project's hosts.
class small_cell {
public:
    small_cell(const std::string& record_path, std::size_t hosts, std::size_t executors,
               const std::function<executor_entry(std::size_t)>& describe)
        : record(record_path), seen(this->record) {
        this->platform.on_refused = [this](const std::string& why) {
            if (this->refused_appends++ == 0) {
                this->record.line("the store refuses an append (first of its kind): " + why);
            }
        };
        this->configure();
        for (std::size_t i = 0; i < executors; i++) {
            this->executors.push_back(std::make_unique<executor>(describe(i), this->platform, this->seen));
        }
        for (std::size_t i = 0; i < hosts; i++) {
            this->hosts.push_back(std::make_unique<host>("edge-" + std::to_string(i + 1), this->folder.path,
                                                         this->platform.port()));
            this->hosts.back()->start();
        }
    }

    bool wait_ready() {
        return wait_until(
            [this] {
                for (const auto& one : this->hosts) {
                    if (!one->is_ready()) {
                        return false;
                    }
                }
                return true;
            },
            milliseconds{10000});
    }

    /// Hands a job in at one host; after no answer, a 502 or a 504 again at the next, as clients do.
    /// @return the last status.
    int submit(const std::string& id, const json& job, std::size_t first_host) {
        constexpr int tries = 5;
        int status = 0;
        for (int i = 0; i < tries; i++) {
            const auto& at = *this->hosts[(first_host + static_cast<std::size_t>(i)) % this->hosts.size()];
            status = call(at.port(), "POST", queue_prefix + id, queue_host, job.dump()).status;
            this->record.line("client hands in " + id + " at " + at.id() + ": " + std::to_string(status));
            if (status != 0 && status != 502 && status != 504) {
                break;
            }
        }
        return status;
    }

    /// Asks one host for the state of a job; empty if there is no state in the answer.
    std::string state_of(const std::string& id, std::size_t at) {
        const auto answer =
            call(this->hosts[at % this->hosts.size()]->port(), "GET", queue_prefix + id, queue_host);
        const auto body = json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", "") : "";
    }

    /// Returns the names of hosts whose process has ended by itself.
    std::vector<std::string> ended_hosts() {
        std::vector<std::string> names;
        for (auto& one : this->hosts) {
            if (one->has_ended()) {
                names.push_back(one->id());
            }
        }
        return names;
    }

    temporary_folder folder;
    record_file record;
    journal seen;
    store platform;
    std::atomic<std::uint64_t> refused_appends = 0;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<std::unique_ptr<host>> hosts;

private:
    void configure() {
        const json route{{"name", "r-batch"},
                         {"host", queue_host},
                         {"pathPrefix", queue_prefix},
                         {"type", "non_idempotent"},
                         {"timeoutMs", 3000},
                         {"targetLatencyMs", 1200},
                         {"priority", 0},
                         {"service", "workers"},
                         {"maxAttempts", 3},
                         {"stretch", 2.2}};
        const json service{
            {"name", "workers"}, {"healthPath", "/health"},   {"maxConnections", 64}, {"protocol", "h1"},
            {"tls", false},      {"enforcesCapacity", false}, {"standby", false}};
        this->platform.put("keyed.op", "config",
                           json{{"version", 1},
                                {"routes", {route}},
                                {"services", {service}},
                                {"limits", {{"maxBodyBytes", 262144}}}}
                               .dump());
    }
};

/// Returns the name of the n-th job: 16 hexadecimal digits.
inline std::string job_id(std::uint64_t n) {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << (0x5c0e7a2100000000ULL + n);
    return text.str();
}

/// Returns whether TROUBLE=0 is set: the case runs without its disruption.
inline bool without_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value != nullptr && std::string{value} == "0";
}

} // namespace review
