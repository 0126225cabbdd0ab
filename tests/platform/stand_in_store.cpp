#include "tests/platform/stand_in_store.h"

#include "external/base64.h"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace rattanmount::tests {

namespace {

using nlohmann::json;

front::http_reply json_reply(int status, const json& body) {
    return {.status = static_cast<front::http_status>(status), .body = body.dump()};
}

void append_number(std::string& bytes, std::uint64_t number, int width) {
    for (int i = width - 1; i >= 0; i--) {
        bytes.push_back(static_cast<char>(number >> (i * 8) & 0xFFU));
    }
}

std::uint64_t read_number(const std::string& bytes, std::size_t& position, int width) {
    std::uint64_t number = 0;
    for (int i = 0; i < width; i++) {
        number = number << 8U | static_cast<unsigned char>(bytes.at(position++));
    }
    return number;
}

std::uint64_t query_number(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

} // namespace

stand_in_store::stand_in_store(runtime::elastic_pool& pool)
    : server({.listen = {.address = "127.0.0.1", .port = 0, .path = ""},
              .handle = [this](const auto& request) { return this->handle(request); },
              .execute = [&pool](std::function<void()> work) { pool.post(std::move(work)); }}) {
    this->server.start();
}

stand_in_store::~stand_in_store() {
    this->server.stop(std::chrono::seconds{1});
}

void stand_in_store::put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard guard{this->mutex};
    this->topics[topic].records.push_back({key, value});
    this->changed.notify_all();
}

void stand_in_store::set_down(bool value) {
    const std::lock_guard guard{this->mutex};
    this->down = value;
    this->changed.notify_all();
}

void stand_in_store::take_down(const std::string& topic) {
    const std::lock_guard guard{this->mutex};
    this->topics_down.insert(topic);
    this->changed.notify_all();
}

void stand_in_store::bring_up(const std::string& topic) {
    const std::lock_guard guard{this->mutex};
    this->topics_down.erase(topic);
}

bool stand_in_store::is_down(const std::string& topic) const {
    return this->down || this->topics_down.contains(topic);
}

front::http_reply stand_in_store::handle(const front::http_request& request) {
    const Poco::URI uri{request.target};
    std::map<std::string, std::string> query;
    for (const auto& [name, value] : uri.getQueryParameters()) {
        query[name] = value;
    }
    {
        const std::lock_guard guard{this->mutex};
        if (this->is_down(query["topic"])) {
            return json_reply(503, json::object());
        }
    }
    if (uri.getPath() == "/log-append") {
        return this->append(query, request.body);
    }
    if (uri.getPath() == "/log-read") {
        return this->read(query);
    }
    return this->newest(query);
}

front::http_reply stand_in_store::append(const std::map<std::string, std::string>& query,
                                         const std::string& body) {
    constexpr std::size_t max_record_bytes = 262144;
    for (std::size_t position = 0; position < body.size();) {
        const auto length = read_number(body, position, 4);
        if (length > max_record_bytes) {
            return json_reply(400, {{"error", "record of " + std::to_string(length) + " bytes"}});
        }
        position += length;
    }
    const std::lock_guard guard{this->mutex};
    auto& topic = this->topics[query.at("topic")];
    auto& producer = topic.producers[query.at("producer")];
    const auto epoch = query_number(query, "epoch");
    const auto sequence = query_number(query, "sequence");
    if (epoch < producer.epoch) {
        return json_reply(409, {{"reason", "fenced"}});
    }
    if (epoch > producer.epoch) {
        producer = {.epoch = epoch, .next = sequence};
    }
    if (sequence > producer.next) {
        return json_reply(409, {{"reason", "seq"}, {"sequence", producer.next}});
    }
    if (sequence == producer.next) {
        producer.next++;
        for (std::size_t position = 0; position < body.size();) {
            const auto length = read_number(body, position, 4);
            const auto end = position + length;
            const auto key_length = read_number(body, position, 1);
            topic.records.push_back({body.substr(position, key_length),
                                     body.substr(position + key_length, end - position - key_length)});
            position = end;
        }
        this->changed.notify_all();
    }
    return json_reply(200, {{"offset", 0}, {"endOffset", topic.records.size()}});
}

front::http_reply stand_in_store::read(const std::map<std::string, std::string>& query) {
    std::unique_lock lock{this->mutex};
    auto& topic = this->topics[query.at("topic")];
    const auto from = query_number(query, "from");
    this->changed.wait_for(lock, std::chrono::milliseconds{query_number(query, "waitMs")},
                           [&] { return topic.records.size() > from || this->is_down(query.at("topic")); });
    if (this->is_down(query.at("topic"))) {
        return json_reply(503, json::object());
    }
    std::string bytes;
    append_number(bytes, topic.records.size(), 8);
    append_number(bytes, 0, 8);
    for (auto i = from; i < topic.records.size(); i++) {
        const auto& record = topic.records[i];
        append_number(bytes, 1 + record.key.size() + record.value.size(), 4);
        append_number(bytes, record.key.size(), 1);
        bytes += record.key + record.value;
    }
    return {.status = front::http_status::ok, .content_type = "application/octet-stream", .body = bytes};
}

front::http_reply stand_in_store::newest(const std::map<std::string, std::string>& query) {
    const std::lock_guard guard{this->mutex};
    const auto& topic = this->topics[query.at("topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < topic.records.size(); i++) {
        last[topic.records[i].key] = i;
    }
    json items = json::array();
    for (const auto& [key, offset] : last) {
        if (!topic.records[offset].value.empty()) {
            items.push_back({{"key", key},
                             {"value", external::base64_encode(topic.records[offset].value)},
                             {"offset", offset}});
        }
    }
    return json_reply(200, {{"items", items}, {"hasMore", false}, {"endOffset", topic.records.size()}});
}

} // namespace rattanmount::tests
