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
        throw core::invalid_argument("not a fault: '" + name + "'");
    }
    return static_cast<fault_kind>(found - kind_names.begin());
}

bool hits(const fault& one, fault_kind kind, const fault_site& site) {
    return one.kind == kind && site.now < one.until && (one.match.empty() || one.match == site.call) &&
           (one.target.empty() || one.target == site.target);
}

core::steady_time end_of(const fault& ordered, core::steady_time now) {
    if (ordered.kind == fault_kind::freeze) {
        return now + ordered.length;
    }
    return ordered.lasts.count() > 0 ? now + ordered.lasts : core::steady_time::max();
}

} // namespace

fault fault_board::put(fault ordered, core::steady_time now) {
    ordered.until = end_of(ordered, now);
    const std::lock_guard lock{this->mutex};
    std::erase_if(this->in_force, [&ordered](const fault& one) {
        return one.kind == ordered.kind && one.match == ordered.match && one.target == ordered.target;
    });
    this->in_force.push_back(ordered);
    return ordered;
}

void fault_board::clear() {
    const std::lock_guard lock{this->mutex};
    this->in_force.clear();
}

std::optional<fault> fault_board::take(fault_kind kind, const fault_site& site) {
    const std::lock_guard lock{this->mutex};
    const auto found =
        std::find_if(this->in_force.begin(), this->in_force.end(),
                     [kind, &site](const fault& one) { return one.count != 0U && hits(one, kind, site); });
    if (found == this->in_force.end()) {
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
                      .lasts = core::milliseconds{json.value("for_ms", 0)},
                      .offset = json.value("offset", std::uint64_t{0})};
        if (json.contains("count")) {
            decoded.count = json.at("count").get<std::uint32_t>();
        }
        return decoded;
    } catch (const nlohmann::json::exception& error) {
        throw core::invalid_argument(std::string{"not a fault: "} + error.what());
    }
}

std::string_view to_string(fault_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

} // namespace rattanmount::stand_ins
