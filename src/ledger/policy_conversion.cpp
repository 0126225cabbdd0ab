#include "ledger/policy_conversion.h"

#include "core/errors.h"
#include "ledger/generated_values.h"

#include <string>
#include <utility>
#include <variant>

namespace rattanmount::ledger {

namespace {

gen::item_data to_item_data(const release::note_item& value) {
    gen::item_data data;
    data.change = enum_number(value.change);
    data.replaces = id_number(value.replaces);
    if (const auto* pool = std::get_if<release::pool_policy>(&value.policy)) {
        data.__set_pool(to_generated(*pool));
    } else {
        data.__set_team(to_generated(std::get<release::team_policy>(value.policy)));
    }
    return data;
}

release::note_item to_item(gen::item_data&& data) {
    if (data.__isset.pool == data.__isset.team) {
        throw core::invalid_argument("note item: needs either a pool or a team");
    }
    release::note_item item;
    item.change = to_enum(data.change, release::item_change::withdraw, "item_change");
    item.replaces = to_id<core::revision_id>(data.replaces);
    if (data.__isset.pool) {
        item.policy = from_generated(std::move(data.pool));
    } else {
        item.policy = from_generated(std::move(data.team));
    }
    return item;
}

} // namespace

gen::pool_data to_generated(const release::pool_policy& value) {
    gen::pool_data data;
    data.name = value.name.value();
    data.kind = enum_number(value.kind);
    data.priority = static_cast<std::int32_t>(value.priority);
    data.urgent = value.urgent;
    data.preemptible = value.preemptible;
    data.spread = value.spread;
    data.weight = static_cast<std::int32_t>(value.weight);
    data.max_share = value.max_share;
    data.quick_limit = value.quick_limit.count();
    data.queue_limit = static_cast<std::int32_t>(value.queue_limit);
    for (const core::service_id& service : value.services) {
        data.services.push_back(service.value());
    }
    return data;
}

release::pool_policy from_generated(gen::pool_data&& value) {
    release::pool_policy pool;
    pool.name = core::pool_id{std::move(value.name)};
    pool.kind = to_work_kind(value.kind);
    pool.priority = static_cast<std::uint32_t>(value.priority);
    pool.urgent = value.urgent;
    pool.preemptible = value.preemptible;
    pool.spread = value.spread;
    pool.weight = static_cast<std::uint32_t>(value.weight);
    pool.max_share = value.max_share;
    pool.quick_limit = core::milliseconds{value.quick_limit};
    pool.queue_limit = static_cast<std::uint32_t>(value.queue_limit);
    for (std::string& service : value.services) {
        pool.services.emplace_back(std::move(service));
    }
    return pool;
}

gen::team_data to_generated(const release::team_policy& value) {
    gen::team_data data;
    data.name = value.name.value();
    data.region = value.region.value();
    data.quota = to_amounts(value.quota);
    data.weight = static_cast<std::int32_t>(value.weight);
    return data;
}

release::team_policy from_generated(gen::team_data&& value) {
    return {.name = core::team_id{std::move(value.name)},
            .region = core::region_id{std::move(value.region)},
            .quota = to_resources(value.quota),
            .weight = static_cast<std::uint32_t>(value.weight)};
}

gen::note_data to_generated(const release::release_note& value) {
    gen::note_data data;
    data.id = value.id.value();
    data.author = value.author;
    data.items.reserve(value.items.size());
    for (const release::note_item& item : value.items) {
        data.items.push_back(to_item_data(item));
    }
    return data;
}

release::release_note from_generated(gen::note_data&& value) {
    release::release_note note;
    note.id = core::note_id{std::move(value.id)};
    note.author = std::move(value.author);
    note.items.reserve(value.items.size());
    for (gen::item_data& item : value.items) {
        note.items.push_back(to_item(std::move(item)));
    }
    return note;
}

} // namespace rattanmount::ledger
