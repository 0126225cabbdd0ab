#pragma once

#include "front/http_server.h"
#include "runtime/elastic_pool.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// A test double of the platform's store: keyed topics, idempotent appends by producers, and long polling.
///
/// Any thread may call it.
class stand_in_store {
public:
    explicit stand_in_store(runtime::elastic_pool& pool);
    ~stand_in_store();
    stand_in_store(const stand_in_store&) = delete;
    stand_in_store& operator=(const stand_in_store&) = delete;

    /// Appends an entry as the operator or a worker does.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// @param value true to answer all calls with status 503.
    void set_down(bool value);

    /// @param topic a topic to which all calls are answered with status 503 from now on.
    void take_down(const std::string& topic);

    /// @param topic a topic that is served again.
    void bring_up(const std::string& topic);

    [[nodiscard]] core::endpoint endpoint() const { return this->server.endpoint(); }

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct producer {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
    };
    struct topic {
        std::vector<record> records;
        std::map<std::string, producer> producers;
    };

    front::http_reply handle(const front::http_request& request);
    /// @return whether calls to a topic are answered with status 503. Needs the mutex.
    bool is_down(const std::string& topic) const;
    front::http_reply append(const std::map<std::string, std::string>& query, const std::string& body);
    front::http_reply read(const std::map<std::string, std::string>& query);
    front::http_reply newest(const std::map<std::string, std::string>& query);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic> topics;
    std::set<std::string> topics_down;
    bool down = false;
    front::http_server server;
};

} // namespace rattanmount::tests
