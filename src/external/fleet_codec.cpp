#include "external/fleet_codec.h"

#include "core/errors.h"

#include <nlohmann/json.hpp>

namespace rattanmount::external {

namespace {

using nlohmann::json;

bool decode_leaving(const json& item) {
    const auto state = item.value("state", "live");
    if (state != "live" && state != "leaving") {
        throw core::invalid_argument("fleet list: expected state 'live' or 'leaving', got '" + state + "'");
    }
    return state == "leaving";
}

const char* state_name(bool leaving) {
    return leaving ? "leaving" : "live";
}

core::endpoint decode_endpoint(const json& item, const char* field) {
    return core::endpoint::parse(item.at(field).get<std::string>());
}

template <typename Id>
Id decode_id(const json& item, const char* field) {
    return Id{item.at(field).get<std::string>()};
}

listed_host decode_host(const json& item) {
    return {.name = decode_id<core::host_id>(item, "name"),
            .inner = decode_endpoint(item, "inner"),
            .data_centre = decode_id<core::data_centre_id>(item, "data_centre"),
            .leaving = decode_leaving(item)};
}

listed_worker decode_worker(const json& item) {
    return {.name = decode_id<core::worker_id>(item, "name"),
            .address = decode_endpoint(item, "address"),
            .data_centre = decode_id<core::data_centre_id>(item, "data_centre"),
            .rack = decode_id<core::rack_id>(item, "rack"),
            .capacity = {.millicores = item.at("millicores").get<std::int64_t>(),
                         .memory_mb = item.at("memory_mb").get<std::int64_t>(),
                         .accelerators = item.value("accelerators", std::int64_t{0})},
            .leaving = decode_leaving(item)};
}

listed_executor decode_executor(const json& item) {
    return {.name = decode_id<core::executor_id>(item, "name"),
            .address = decode_endpoint(item, "address"),
            .data_centre = decode_id<core::data_centre_id>(item, "data_centre"),
            .rack = decode_id<core::rack_id>(item, "rack"),
            .service = decode_id<core::service_id>(item, "service"),
            .slots = item.at("slots").get<std::uint32_t>(),
            .connections = item.at("connections").get<std::uint32_t>(),
            .leaving = decode_leaving(item)};
}

json encode_host(const listed_host& host) {
    return {{"name", host.name.value()},
            {"inner", host.inner.text()},
            {"data_centre", host.data_centre.value()},
            {"state", state_name(host.leaving)}};
}

json encode_worker(const listed_worker& worker) {
    return {{"name", worker.name.value()},
            {"address", worker.address.text()},
            {"data_centre", worker.data_centre.value()},
            {"rack", worker.rack.value()},
            {"millicores", worker.capacity.millicores},
            {"memory_mb", worker.capacity.memory_mb},
            {"accelerators", worker.capacity.accelerators},
            {"state", state_name(worker.leaving)}};
}

json encode_executor(const listed_executor& executor) {
    return {{"name", executor.name.value()},
            {"address", executor.address.text()},
            {"data_centre", executor.data_centre.value()},
            {"rack", executor.rack.value()},
            {"service", executor.service.value()},
            {"slots", executor.slots},
            {"connections", executor.connections},
            {"state", state_name(executor.leaving)}};
}

template <typename Items, typename Encode>
json encode_all(const Items& items, Encode encode) {
    auto array = json::array();
    for (const auto& item : items) {
        array.push_back(encode(item));
    }
    return array;
}

template <typename Items, typename Decode>
void decode_all(const json& list, const char* field, Items& items, Decode decode) {
    if (!list.contains(field)) {
        return;
    }
    for (const auto& item : list.at(field)) {
        items.push_back(decode(item));
    }
}

} // namespace

std::string encode_fleet(const fleet_list& list) {
    const json text{{"version", list.version},
                    {"entry_hosts", encode_all(list.hosts, encode_host)},
                    {"workers", encode_all(list.workers, encode_worker)},
                    {"executors", encode_all(list.executors, encode_executor)}};
    return text.dump();
}

fleet_list decode_fleet(const std::string& text) {
    try {
        const auto parsed = json::parse(text);
        fleet_list list{.version = parsed.at("version").get<std::uint64_t>()};
        decode_all(parsed, "entry_hosts", list.hosts, decode_host);
        decode_all(parsed, "workers", list.workers, decode_worker);
        decode_all(parsed, "executors", list.executors, decode_executor);
        return list;
    } catch (const json::exception& error) {
        throw core::invalid_argument(std::string{"invalid fleet list: "} + error.what());
    }
}

} // namespace rattanmount::external
