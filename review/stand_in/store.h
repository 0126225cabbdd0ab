#pragma once

#include "http.h"

#include <Poco/Base64Encoder.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

/// The platform's metadata store: its log calls, as PROTOCOL.md states them.
class store {
public:
    static constexpr std::size_t max_record_bytes = 262144;
    static constexpr std::size_t max_request_bytes = 2097152;

    store() : server([this](const request& one) { return this->handle(one); }, 0, 512) {}

    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }

    /// Called for each append that is refused with status 400: the reason.
    std::function<void(const std::string&)> on_refused;

    /// Appends a record as the operator or an executor does.
    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard guard{this->mutex};
        this->topics[topic].records.push_back({key, value});
        this->changed.notify_all();
    }

    /// As put(), after the time that a call takes now.
    void put_by_call(const std::string& topic, const std::string& key, const std::string& value) {
        std::this_thread::sleep_for(milliseconds{this->delay_ms});
        this->put(topic, key, value);
    }

    /// Answers all calls with status 503 and does nothing, as a busy store does.
    void set_busy(bool value) {
        const std::lock_guard guard{this->mutex};
        this->busy = value;
        this->changed.notify_all();
    }

    /// Sets the time that each call takes before it is answered.
    void set_delay(milliseconds value) { this->delay_ms = value.count(); }

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct answered_append {
        std::uint64_t sequence = 0;
        json answer;
    };
    struct producer {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        std::deque<answered_append> last; ///< The last five appends.
    };
    struct topic {
        std::vector<record> records;
        std::map<std::string, producer> producers;
    };

    static std::uint64_t number_in(const request& one, const std::string& name) {
        const auto found = one.query.find(name);
        return found == one.query.end() ? 0 : std::stoull(found->second);
    }

    static void add_number(std::string& bytes, std::uint64_t number, int width) {
        for (int i = width - 1; i >= 0; i--) {
            bytes.push_back(static_cast<char>(number >> (i * 8) & 0xFFU));
        }
    }

    static std::uint64_t take_number(const std::string& bytes, std::size_t& at, int width) {
        std::uint64_t number = 0;
        for (int i = 0; i < width; i++) {
            number = number << 8U | static_cast<unsigned char>(bytes.at(at++));
        }
        return number;
    }

    reply handle(const request& one) {
        std::this_thread::sleep_for(milliseconds{this->delay_ms});
        {
            const std::lock_guard guard{this->mutex};
            if (this->busy) {
                return json_reply(503, json::object());
            }
        }
        if (one.path == "/log-append") {
            return this->append(one);
        }
        if (one.path == "/log-read") {
            return this->read(one);
        }
        return one.path == "/log-newest" ? this->newest(one) : json_reply(404, json::object());
    }

    reply refuse(const std::string& why) {
        if (this->on_refused) {
            this->on_refused(why);
        }
        return json_reply(400, {{"error", why}});
    }

    reply append(const request& one) {
        std::vector<record> added;
        for (std::size_t at = 0; at < one.body.size();) {
            const auto length = take_number(one.body, at, 4);
            if (length > max_record_bytes) {
                return this->refuse("a record has " + std::to_string(length) + " bytes, the most are " +
                                    std::to_string(max_record_bytes));
            }
            const auto end = at + length;
            const auto key = take_number(one.body, at, 1);
            added.push_back({one.body.substr(at, key), one.body.substr(at + key, end - at - key)});
            at = end;
        }
        if (one.body.size() > max_request_bytes) {
            return this->refuse("the records have " + std::to_string(one.body.size()) +
                                " bytes, the most are " + std::to_string(max_request_bytes));
        }
        const std::lock_guard guard{this->mutex};
        auto& place = this->topics[one.query.at("topic")];
        const auto name = one.query.find("producer");
        if (name == one.query.end()) {
            return json_reply(200, this->store_records(place, std::move(added)));
        }
        auto& from = place.producers[name->second];
        const auto epoch = number_in(one, "epoch");
        const auto sequence = number_in(one, "sequence");
        if (epoch < from.epoch) {
            return json_reply(409, {{"reason", "fenced"}});
        }
        if (epoch > from.epoch) {
            from = {.epoch = epoch, .next = sequence};
        }
        for (const auto& known : from.last) {
            if (known.sequence == sequence) {
                return json_reply(200, known.answer);
            }
        }
        if (sequence != from.next) {
            return json_reply(409, {{"reason", "seq"}, {"sequence", from.next}});
        }
        const auto answer = this->store_records(place, std::move(added));
        from.next++;
        from.last.push_back({sequence, answer});
        if (from.last.size() > 5) {
            from.last.pop_front();
        }
        return json_reply(200, answer);
    }

    json store_records(topic& place, std::vector<record> added) {
        const auto offset = place.records.size();
        place.records.insert(place.records.end(), added.begin(), added.end());
        this->changed.notify_all();
        return {{"offset", offset}, {"endOffset", place.records.size()}};
    }

    reply read(const request& one) {
        const auto max_bytes = std::max<std::uint64_t>(number_in(one, "maxKb"), 1024) * 1024;
        std::unique_lock lock{this->mutex};
        auto& place = this->topics[one.query.at("topic")];
        const auto from = number_in(one, "from");
        this->changed.wait_for(lock, milliseconds{number_in(one, "waitMs")},
                               [&] { return place.records.size() > from || this->busy; });
        if (this->busy) {
            return json_reply(503, json::object());
        }
        std::string bytes;
        add_number(bytes, place.records.size(), 8);
        add_number(bytes, 0, 8);
        for (auto i = from; i < place.records.size() && bytes.size() < max_bytes; i++) {
            const auto& record = place.records[i];
            add_number(bytes, 1 + record.key.size() + record.value.size(), 4);
            add_number(bytes, record.key.size(), 1);
            bytes += record.key + record.value;
        }
        return {.status = 200, .body = bytes, .type = "application/octet-stream"};
    }

    reply newest(const request& one) {
        constexpr std::size_t page_items = 500;
        constexpr std::size_t page_bytes = 1'000'000;
        const std::lock_guard guard{this->mutex};
        const auto& place = this->topics[one.query.at("topic")];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < place.records.size(); i++) {
            last[place.records[i].key] = i;
        }
        const auto after = one.query.find("after");
        json items = json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (const auto& [key, offset] : last) {
            const auto& value = place.records[offset].value;
            if (value.empty() || (after != one.query.end() && key <= after->second)) {
                continue;
            }
            if (items.size() == page_items || bytes > page_bytes) {
                more = true;
                break;
            }
            bytes += value.size();
            items.push_back({{"key", key}, {"value", encode(value)}, {"offset", offset}});
        }
        return json_reply(200, {{"items", items}, {"hasMore", more}, {"endOffset", place.records.size()}});
    }

    static std::string encode(const std::string& bytes) {
        std::ostringstream text;
        Poco::Base64Encoder encoder{text};
        encoder.rdbuf()->setLineLength(0);
        encoder << bytes;
        encoder.close();
        return text.str();
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic> topics;
    bool busy = false;
    std::atomic<std::int64_t> delay_ms = 4;
    http_server server;
};

} // namespace review
