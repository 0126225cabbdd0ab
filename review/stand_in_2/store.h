#pragma once

// Stand-in for the platform's store: the log calls of PROTOCOL.md that a host uses. It loses nothing, answers
// after a fixed time, and its answers are linearizable.

#include "http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

namespace stand_in {

class store {
public:
    static constexpr std::chrono::milliseconds answer_time{4};

    store() : server([this](const http_request& request) { return this->serve(request); }) {}

    [[nodiscard]] std::string address() const { return this->server.address(); }

    /// Appends a keyed record, as the operator and the executors do.
    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard guard{this->mutex};
        this->append_one(this->topics[topic], keyed(key, value));
        this->changed.notify_all();
    }

private:
    struct producer_state {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        bool any = false;
        std::deque<std::pair<std::uint64_t, http_response>> last; ///< Answers of the last five appends.
    };
    struct topic_state {
        std::vector<std::string> records;
        std::map<std::string, std::uint64_t> newest; ///< The offset of the newest record of each key.
        std::map<std::string, producer_state> producers;
    };

    static std::string keyed(const std::string& key, const std::string& value) {
        return std::string(1, static_cast<char>(key.size())) + key + value;
    }

    static void append_one(topic_state& topic, const std::string& record) {
        const auto key_size = static_cast<unsigned char>(record.at(0));
        const auto key = record.substr(1, key_size);
        if (record.size() > 1U + key_size) {
            topic.newest[key] = topic.records.size();
        } else {
            topic.newest.erase(key);
        }
        topic.records.push_back(record);
    }

    static std::string number(std::uint64_t value, int width) {
        std::string bytes;
        for (int i = width - 1; i >= 0; i--) {
            bytes.push_back(static_cast<char>(value >> (8 * i) & 0xFF));
        }
        return bytes;
    }

    static std::string base64(const std::string& bytes) {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; k++) {
                group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
            }
            for (std::size_t k = 0; k < 4; k++) {
                text.push_back(i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=');
            }
        }
        return text;
    }

    http_response serve(const http_request& request) {
        http_response response;
        if (request.path == "/log-append") {
            response = this->append(request);
        } else if (request.path == "/log-read") {
            response = this->read(request);
        } else if (request.path == "/log-newest") {
            response = this->newest(request);
        } else {
            response.status = 400;
        }
        std::this_thread::sleep_for(answer_time);
        return response;
    }

    http_response append(const http_request& request) {
        std::vector<std::string> records;
        for (std::size_t place = 0; place + 4 <= request.body.size();) {
            std::size_t size = 0;
            for (int i = 0; i < 4; i++) {
                size = size << 8 | static_cast<unsigned char>(request.body[place++]);
            }
            records.push_back(request.body.substr(place, size));
            place += size;
        }
        const std::lock_guard guard{this->mutex};
        auto& topic = this->topics[request.query.at("topic")];
        producer_state* producer = nullptr;
        std::uint64_t sequence = 0;
        if (const auto name = request.query.find("producer"); name != request.query.end()) {
            producer = &topic.producers[name->second];
            const auto epoch = std::stoull(request.query.at("epoch"));
            sequence = std::stoull(request.query.at("sequence"));
            if (epoch < producer->epoch) {
                return {.status = 409, .body = R"({"reason":"fenced"})"};
            }
            if (epoch > producer->epoch) {
                *producer = {};
                producer->epoch = epoch;
            }
            for (const auto& [earlier, answer] : producer->last) {
                if (earlier == sequence) {
                    return answer;
                }
            }
            if (producer->any && sequence != producer->sequence + 1) {
                return {.status = 409,
                        .body = nlohmann::json{{"reason", "seq"}, {"sequence", producer->sequence + 1}}.dump()};
            }
        }
        const auto offset = topic.records.size();
        for (const auto& record : records) {
            append_one(topic, record);
        }
        const http_response response{
            .body = nlohmann::json{{"offset", offset}, {"endOffset", topic.records.size()}}.dump()};
        if (producer != nullptr && !records.empty()) {
            producer->any = true;
            producer->sequence = sequence;
            producer->last.emplace_back(sequence, response);
            if (producer->last.size() > 5) {
                producer->last.pop_front();
            }
        }
        this->changed.notify_all();
        return response;
    }

    http_response read(const http_request& request) {
        const auto from = std::stoull(request.query.at("from"));
        const auto most = request.query.contains("maxKb") ? std::stoul(request.query.at("maxKb")) : 1024;
        const auto wait = request.query.contains("waitMs") ? std::stoul(request.query.at("waitMs")) : 0;
        std::unique_lock lock{this->mutex};
        auto& topic = this->topics[request.query.at("topic")];
        this->changed.wait_for(lock, std::chrono::milliseconds{wait},
                               [&] { return topic.records.size() > from; });
        http_response response{.body = number(topic.records.size(), 8) + number(0, 8),
                               .content_type = "application/octet-stream"};
        for (auto i = from; i < topic.records.size(); i++) {
            if (i > from && response.body.size() + topic.records[i].size() > most * 1024) {
                break;
            }
            response.body += number(topic.records[i].size(), 4) + topic.records[i];
        }
        return response;
    }

    http_response newest(const http_request& request) {
        constexpr std::size_t page = 500;
        const auto after = request.query.find("after");
        const std::lock_guard guard{this->mutex};
        auto& topic = this->topics[request.query.at("topic")];
        auto items = nlohmann::json::array();
        auto place = after == request.query.end() ? topic.newest.begin()
                                                  : topic.newest.upper_bound(after->second);
        for (; place != topic.newest.end() && items.size() < page; ++place) {
            const auto& [key, offset] = *place;
            items.push_back({{"key", key},
                             {"value", base64(topic.records[offset].substr(1 + key.size()))},
                             {"offset", offset}});
        }
        return {.body = nlohmann::json{{"items", items},
                                       {"hasMore", place != topic.newest.end()},
                                       {"endOffset", topic.records.size()}}
                            .dump()};
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic_state> topics;
    http_server server;
};

} // namespace stand_in
