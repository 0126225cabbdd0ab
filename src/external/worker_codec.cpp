#include "external/worker_codec.h"

#include "core/errors.h"
#include "core/names.h"

#include <nlohmann/json.hpp>

namespace rattanmount::external {

namespace {

using nlohmann::json;

core::resources decode_resources(const json& amounts) {
    return {.millicores = amounts.at(0).get<std::int64_t>(),
            .memory_mb = amounts.at(1).get<std::int64_t>(),
            .accelerators = amounts.at(2).get<std::int64_t>()};
}

inventory_item decode_item(const json& item) {
    inventory_item decoded{.attempt = core::attempt_id::parse(item.at("attempt").get<std::string>()),
                           .each = decode_resources(item.at("each")),
                           .run_time = core::milliseconds{item.at("run_ms").get<std::int64_t>()},
                           .checkpointed = item.value("checkpointed", false)};
    if (item.contains("end")) {
        decoded.end = core::parse_attempt_end(item.at("end").get<std::string>());
    }
    if (item.contains("used")) {
        decoded.used = decode_resources(item.at("used"));
    }
    return decoded;
}

std::string dump_json(const json& body) {
    try {
        return body.dump();
    } catch (const json::exception& error) {
        throw core::invalid_argument(std::string{"a call of a worker cannot be encoded: "} + error.what());
    }
}

template <typename Decode>
lease_reply decode(const std::string& text, Decode decode_json) {
    try {
        return decode_json(json::parse(text));
    } catch (const json::exception& error) {
        throw core::invalid_argument(std::string{"invalid answer from a worker: "} + error.what());
    }
}

} // namespace

std::string encode_lease_request(const lease_request& request) {
    json body{{"holder", request.holder.value()}, {"term_ms", request.term.count()}};
    if (request.renew.value() != 0) {
        body["lease"] = request.renew.value();
    }
    for (const auto& attempt : request.forget) {
        body["forget"].push_back(attempt.text());
    }
    return dump_json(body);
}

lease_reply decode_granted_lease(const std::string& text) {
    return decode(text, [](const json& body) {
        lease_reply reply{.verdict = lease_verdict::granted,
                          .lease = core::lease_id{body.at("lease").get<std::uint64_t>()}};
        for (const auto& item : body.at("inventory")) {
            reply.inventory.push_back(decode_item(item));
        }
        return reply;
    });
}

lease_reply decode_held_lease(const std::string& text) {
    return decode(text, [](const json& body) {
        return lease_reply{.verdict = lease_verdict::held,
                           .remaining = core::milliseconds{body.at("remaining_ms").get<std::int64_t>()}};
    });
}

std::string encode_start(core::lease_id lease, const core::attempt_id& attempt, const core::resources& each,
                         const std::string& payload) {
    json body{{"lease", lease.value()},
              {"attempt", attempt.text()},
              {"millicores", each.millicores},
              {"memory_mb", each.memory_mb}};
    if (each.accelerators != 0) {
        body["accelerators"] = each.accelerators;
    }
    if (!payload.empty()) {
        body["payload"] = payload;
    }
    return dump_json(body);
}

std::string encode_act(core::lease_id lease, const core::attempt_id& attempt, attempt_action action) {
    return dump_json(
        json{{"lease", lease.value()}, {"attempt", attempt.text()}, {"action", to_string(action)}});
}

std::string_view to_string(attempt_action action) {
    switch (action) {
    case attempt_action::stop:
        return "stop";
    case attempt_action::checkpoint:
        return "checkpoint";
    case attempt_action::throttle:
        return "throttle";
    }
    return "?";
}

} // namespace rattanmount::external
