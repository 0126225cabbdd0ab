#include "stand_ins/faults.h"

#include "core/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace rattanmount::stand_ins {

namespace {

constexpr std::array<std::string_view, 12> kind_names{"down",
                                                      "refuse",
                                                      "slow",
                                                      "effect_without_answer",
                                                      "crossed_answer",
                                                      "short_answer",
                                                      "expire",
                                                      "freeze",
                                                      "fail_starts",
                                                      "fail_tasks",
                                                      "silent_connections",
                                                      "lag"};

fault_kind parse_kind(const std::string& name) {
    const auto* const found = std::find(kind_names.begin(), kind_names.end(), name);
    if (found == kind_names.end()) {
        throw core::invalid_argument("unknown fault: '" + name + "'");
    }
    return static_cast<fault_kind>(found - kind_names.begin());
}

bool affects(const fault& candidate, fault_kind kind, const injection_point& site) {
    return candidate.kind == kind && site.now < candidate.until &&
           (candidate.match.empty() || candidate.match == site.call) &&
           (candidate.target.empty() || candidate.target == site.target);
}

core::steady_time end_time(const fault& injected, core::steady_time now) {
    if (injected.kind == fault_kind::freeze) {
        return now + injected.length;
    }
    return injected.active_for.count() > 0 ? now + injected.active_for : core::steady_time::max();
}

} // namespace

fault fault_injector::activate(fault injected, core::steady_time now) {
    injected.until = end_time(injected, now);
    const std::lock_guard lock{this->mutex};
    std::erase_if(this->active, [&injected](const fault& candidate) {
        return candidate.kind == injected.kind && candidate.match == injected.match &&
               candidate.target == injected.target;
    });
    this->active.push_back(injected);
    return injected;
}

void fault_injector::clear() {
    const std::lock_guard lock{this->mutex};
    this->active.clear();
}

std::optional<fault> fault_injector::consume(fault_kind kind, const injection_point& site) {
    const std::lock_guard lock{this->mutex};
    const auto found =
        std::find_if(this->active.begin(), this->active.end(), [kind, &site](const fault& candidate) {
            return candidate.count != 0U && affects(candidate, kind, site);
        });
    if (found == this->active.end()) {
        return std::nullopt;
    }
    if (found->count) {
        --*found->count;
    }
    return *found;
}

fault decode_fault(const std::string& text) {
    try {
        const auto json = nlohmann::json::parse(text);
        fault decoded{.kind = parse_kind(json.at("fault").get<std::string>()),
                      .match = json.value("match", ""),
                      .target = json.value("target", ""),
                      .length = core::milliseconds{json.value("ms", 0)},
                      .active_for = core::milliseconds{json.value("for_ms", 0)},
                      .offset = json.value("offset", std::uint64_t{0})};
        if (json.contains("count")) {
            decoded.count = json.at("count").get<std::uint32_t>();
        }
        return decoded;
    } catch (const nlohmann::json::exception& error) {
        throw core::invalid_argument(std::string{"invalid fault: "} + error.what());
    }
}

std::string_view to_string(fault_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

} // namespace rattanmount::stand_ins
