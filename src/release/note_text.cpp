#include "release/note_text.h"

#include "core/duration_text.h"
#include "core/errors.h"
#include "core/names.h"
#include "release/duplicate_keys.h"
#include "release/json_reader.h"
#include "release/note_validation.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <string_view>

namespace rattanmount::release {

namespace {

using nlohmann::json;

constexpr std::uint64_t max_amount = std::numeric_limits<std::int64_t>::max();

std::string_view to_string(item_change change) {
    switch (change) {
    case item_change::add:
        return "add";
    case item_change::change:
        return "change";
    case item_change::withdraw:
        return "withdraw";
    }
    return "?";
}

item_change read_change(json_reader& reader) {
    const std::string name = reader.string("change");
    for (const item_change change : {item_change::add, item_change::change, item_change::withdraw}) {
        if (name == to_string(change)) {
            return change;
        }
    }
    reader.add_error("change", "must be 'add', 'change' or 'withdraw'");
    return item_change::add;
}

core::work_kind read_kind(json_reader& reader, core::work_kind fallback) {
    if (!reader.has("kind")) {
        return fallback;
    }
    try {
        return core::parse_work_kind(reader.string("kind"));
    } catch (const core::invalid_argument&) {
        reader.add_error("kind", "must be 'quick', 'batch', 'gang' or 'service'");
        return fallback;
    }
}

core::milliseconds read_duration(json_reader& reader, const std::string& key, core::milliseconds fallback) {
    if (!reader.has(key)) {
        return fallback;
    }
    try {
        return core::parse_duration(reader.string(key));
    } catch (const core::invalid_argument& failure) {
        reader.add_error(key, failure.what());
        return fallback;
    }
}

std::vector<core::service_id> read_services(json_reader& reader) {
    std::vector<core::service_id> services;
    for (const json& element : reader.array("services")) {
        if (element.is_string()) {
            services.emplace_back(element.get<std::string>());
        } else {
            reader.add_error("services", "must be a list of strings");
        }
    }
    return services;
}

pool_policy read_pool(const json& object, const std::string& path, std::vector<std::string>& errors) {
    json_reader reader{object, path, errors};
    pool_policy pool;
    pool.name = core::pool_id{reader.string("name")};
    pool.kind = read_kind(reader, pool.kind);
    pool.priority = static_cast<std::uint32_t>(reader.unsigned_integer("priority", pool.priority));
    pool.urgent = reader.boolean("urgent", pool.urgent);
    pool.preemptible = reader.boolean("preemptible", pool.preemptible);
    pool.spread = reader.boolean("spread", pool.spread);
    pool.weight = static_cast<std::uint32_t>(reader.unsigned_integer("weight", pool.weight));
    pool.max_share = reader.number("max_share", pool.max_share);
    pool.quick_limit = read_duration(reader, "quick_limit", pool.quick_limit);
    pool.queue_limit = static_cast<std::uint32_t>(reader.unsigned_integer("queue_limit", pool.queue_limit));
    pool.services = read_services(reader);
    reader.check_unknown_keys();
    return pool;
}

core::resources read_amounts(const json& object, const std::string& path, std::vector<std::string>& errors) {
    json_reader reader{object, path, errors};
    core::resources amounts;
    amounts.millicores = static_cast<std::int64_t>(reader.unsigned_integer("millicores", 0, max_amount));
    amounts.memory_mb = static_cast<std::int64_t>(reader.unsigned_integer("memory_mb", 0, max_amount));
    amounts.accelerators = static_cast<std::int64_t>(reader.unsigned_integer("accelerators", 0, max_amount));
    reader.check_unknown_keys();
    return amounts;
}

team_policy read_team(const json& object, const std::string& path, std::vector<std::string>& errors) {
    json_reader reader{object, path, errors};
    team_policy team;
    team.name = core::team_id{reader.string("name")};
    team.region = core::region_id{reader.string("region")};
    if (reader.has("quota")) {
        team.quota = read_amounts(reader.value("quota"), reader.path_of("quota"), errors);
    }
    team.weight = static_cast<std::uint32_t>(reader.unsigned_integer("weight", team.weight));
    reader.check_unknown_keys();
    return team;
}

note_item read_item(const json& object, const std::string& path, std::vector<std::string>& errors) {
    json_reader reader{object, path, errors};
    note_item item;
    item.change = read_change(reader);
    item.replaces = core::revision_id{reader.unsigned_integer("replaces", 0, max_amount)};
    const json& pool = reader.value("pool");
    const json& team = reader.value("team");
    if (reader.has("pool") == reader.has("team")) {
        errors.push_back(path + ": needs either a pool or a team");
    } else if (reader.has("pool")) {
        item.policy = read_pool(pool, reader.path_of("pool"), errors);
    } else {
        item.policy = read_team(team, reader.path_of("team"), errors);
    }
    reader.check_unknown_keys();
    return item;
}

release_note read_note(const json& object, std::vector<std::string>& errors) {
    json_reader reader{object, "", errors};
    release_note note;
    note.id = core::note_id{reader.string("id")};
    note.author = reader.string("author");
    const json& items = reader.array("items");
    for (std::size_t index = 0; index < items.size(); ++index) {
        note.items.push_back(read_item(items[index], "items[" + std::to_string(index) + "]", errors));
    }
    reader.check_unknown_keys();
    return note;
}

json parse_json(const std::string& text) {
    constexpr bool throws = true;
    constexpr bool comments = true;
    try {
        return json::parse(text, nullptr, throws, comments);
    } catch (const json::exception& failure) {
        throw core::invalid_argument(std::string{"the release note is not valid JSON: "} + failure.what());
    }
}

json to_json(const core::resources& amounts) {
    return {{"millicores", amounts.millicores},
            {"memory_mb", amounts.memory_mb},
            {"accelerators", amounts.accelerators}};
}

json to_json(const pool_policy& pool) {
    json services = json::array();
    for (const core::service_id& service : pool.services) {
        services.push_back(service.value());
    }
    return {{"name", pool.name.value()},
            {"kind", core::to_string(pool.kind)},
            {"priority", pool.priority},
            {"urgent", pool.urgent},
            {"preemptible", pool.preemptible},
            {"spread", pool.spread},
            {"weight", pool.weight},
            {"max_share", pool.max_share},
            {"quick_limit", core::format_duration(pool.quick_limit)},
            {"queue_limit", pool.queue_limit},
            {"services", std::move(services)}};
}

json to_json(const team_policy& team) {
    return {{"name", team.name.value()},
            {"region", team.region.value()},
            {"quota", to_json(team.quota)},
            {"weight", team.weight}};
}

/// Formats one policy as the note item that would change it, or add it again if it was withdrawn, together
/// with the note and the author of its last change.
template <typename Policy>
json to_json(const policy_record<Policy>& record, const char* kind) {
    const item_change change = record.in_force ? item_change::change : item_change::add;
    json item = {
        {"change", to_string(change)}, {"replaces", record.revision.value()}, {kind, to_json(record.last)}};
    return {{"item", std::move(item)}, {"changed_by", record.changed_by.value()}, {"author", record.author}};
}

} // namespace

release_note parse_note(const std::string& text) {
    const json object = parse_json(text);
    std::vector<std::string> errors = find_duplicate_keys(text);
    release_note note = read_note(object, errors);
    if (errors.empty()) {
        errors = validate(note);
    }
    if (!errors.empty()) {
        throw core::invalid_argument(join_errors(errors));
    }
    return note;
}

std::string format_policies(const policy_registry& registry) {
    json in_force = json::array();
    json withdrawn = json::array();
    for (const auto& [name, record] : registry.pool_records()) {
        (record.in_force ? in_force : withdrawn).push_back(to_json(record, "pool"));
    }
    for (const auto& [name, record] : registry.team_records()) {
        (record.in_force ? in_force : withdrawn).push_back(to_json(record, "team"));
    }
    const json object = {{"in_force", std::move(in_force)}, {"withdrawn", std::move(withdrawn)}};
    constexpr int indent = 2;
    return object.dump(indent, ' ', false, json::error_handler_t::replace);
}

} // namespace rattanmount::release
