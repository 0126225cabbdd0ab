#include "stand_ins/log_role.h"

#include "core/errors.h"
#include "external/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanmount::stand_ins {

log_role::log_role(log_role_options options, journal& events) : options(options), events(events) {}

role_hooks log_role::hooks() {
    return {.call_name = [](const stand_in_call& call) { return call.method == "POST" ? "append" : "read"; },
            .handle = [this](const stand_in_call& call) { return this->handle(call); },
            .on_fault =
                [this](const fault& injected, core::steady_time now) {
                    if (injected.kind == fault_kind::expire) {
                        this->expire(injected, now);
                    }
                }};
}

stand_in_reply log_role::handle(const stand_in_call& call) {
    if (call.path.size() != 2 || call.path[0] != "streams") {
        return refusal(404, "no such path");
    }
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock{this->mutex};
    if (call.method == "POST") {
        return this->append(call, now);
    }
    if (call.method == "GET") {
        return this->read(call, now);
    }
    return refusal(405, "/streams accepts GET and POST");
}

stand_in_reply log_role::append(const stand_in_call& call, core::steady_time now) {
    auto& stream = this->streams[call.target()];
    const auto offset = stream.first + stream.entries.size();
    stream.entries.push_back({.bytes = call.body, .stored_at = now});
    this->apply_retention(stream, now);
    this->events.add(now, {.kind = journal_kind::append, .target = call.target(), .value = offset});
    return {.body = nlohmann::json{{"offset", offset}}.dump()};
}

stand_in_reply log_role::read(const stand_in_call& call, core::steady_time now) {
    auto& stream = this->streams[call.target()];
    this->apply_retention(stream, now);
    const auto next = stream.first + stream.entries.size();
    auto entries = nlohmann::json::array();
    std::uint64_t bytes = 0;
    for (auto offset = std::max(call.from, stream.first); offset < next; ++offset) {
        const auto& entry = stream.entries[offset - stream.first];
        bytes += entry.bytes.size();
        if (!entries.empty() && bytes > call.max) {
            break;
        }
        entries.push_back({{"offset", offset}, {"data", external::base64_encode(entry.bytes)}});
    }
    return {.body = nlohmann::json{{"first", stream.first}, {"next", next}, {"entries", entries}}.dump()};
}

void log_role::expire(const fault& injected, core::steady_time now) {
    const std::lock_guard lock{this->mutex};
    for (auto& [name, stream] : this->streams) {
        if (!injected.target.empty() && injected.target != name) {
            continue;
        }
        while (!stream.entries.empty() && stream.first < injected.offset) {
            stream.entries.pop_front();
            ++stream.first;
        }
        this->events.add(now, {.kind = journal_kind::expire, .target = name, .value = stream.first});
    }
}

void log_role::apply_retention(stream& trimmed, core::steady_time now) const {
    const auto expired = [this, &trimmed, now] {
        const bool too_many =
            this->options.retention_entries > 0 && trimmed.entries.size() > this->options.retention_entries;
        const bool too_old = this->options.retention.count() > 0 &&
                             trimmed.entries.front().stored_at + this->options.retention <= now;
        return too_many || too_old;
    };
    while (!trimmed.entries.empty() && expired()) {
        trimmed.entries.pop_front();
        ++trimmed.first;
    }
}

} // namespace rattanmount::stand_ins
