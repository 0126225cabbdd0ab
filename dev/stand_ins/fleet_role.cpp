#include "stand_ins/fleet_role.h"

#include "core/errors.h"
#include "external/fleet_codec.h"

#include <nlohmann/json.hpp>

namespace rattanmount::stand_ins {

namespace {

/// Bounds the history that is kept for the fault lag.
constexpr std::size_t max_lists = 1000;

std::string with_version(const std::string& text, std::uint64_t version) {
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        throw core::invalid_argument("invalid fleet list: expected a JSON object");
    }
    if (!json.contains("version")) {
        json["version"] = version;
    }
    return json.dump();
}

} // namespace

fleet_role::fleet_role(journal& events, fault_injector& faults) : events(events), faults(faults) {
    this->lists.push_back(
        {.text = external::encode_fleet({}), .published_at = std::chrono::steady_clock::now()});
}

role_hooks fleet_role::hooks() {
    return {.call_name = [](const stand_in_call& call) { return call.method == "GET" ? "list" : ""; },
            .handle = [this](const stand_in_call& call) { return this->handle(call); }};
}

std::uint64_t fleet_role::put(const std::string& text) {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock{this->mutex};
    const auto complete = with_version(text, this->lists.back().version + 1);
    const auto version = external::decode_fleet(complete).version;
    this->lists.push_back({.text = complete, .version = version, .published_at = now});
    if (this->lists.size() > max_lists) {
        this->lists.pop_front();
    }
    this->events.add(now, {.kind = journal_kind::list, .value = version});
    return version;
}

stand_in_reply fleet_role::handle(const stand_in_call& call) {
    if (call.path.size() != 1 || call.path[0] != "fleet") {
        return refusal(404, "no such path");
    }
    if (call.method == "PUT") {
        return {.body = nlohmann::json{{"version", this->put(call.body)}}.dump()};
    }
    if (call.method == "GET") {
        return this->get(call);
    }
    return refusal(405, "/fleet accepts GET and PUT");
}

stand_in_reply fleet_role::get(const stand_in_call& call) {
    const auto now = std::chrono::steady_clock::now();
    const auto lag = this->faults.consume(fault_kind::lag, {.call = "list", .target = "", .now = now});
    const std::lock_guard lock{this->mutex};
    const auto& list = this->list_at(lag ? now - lag->length : now);
    const auto version = "\"" + std::to_string(list.version) + "\"";
    if (call.if_none_match == version) {
        return {.status = 304, .etag = version};
    }
    return {.body = list.text, .etag = version};
}

const fleet_role::list_version& fleet_role::list_at(core::steady_time as_of) const {
    for (auto list = this->lists.rbegin(); list != this->lists.rend(); ++list) {
        if (list->published_at <= as_of) {
            return *list;
        }
    }
    return this->lists.front();
}

} // namespace rattanmount::stand_ins
