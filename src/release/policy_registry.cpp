#include "release/policy_registry.h"

#include "release/note_validation.h"

#include <string_view>
#include <utility>

namespace rattanmount::release {

namespace {

template <typename Policy, typename Id>
const policy_record<Policy>* find_record(const std::map<Id, policy_record<Policy>>& records, const Id& name) {
    const auto found = records.find(name);
    return found == records.end() ? nullptr : &found->second;
}

template <typename Policy>
const Policy* in_force(const policy_record<Policy>* record) {
    return record != nullptr && record->in_force ? &record->last : nullptr;
}

template <typename Policy>
const Policy* last_policy(const policy_record<Policy>* record) {
    return record != nullptr ? &record->last : nullptr;
}

template <typename Policy>
core::revision_id revision_of(const policy_record<Policy>* record) {
    return record != nullptr ? record->revision : core::revision_id{};
}

template <typename Policy, typename Id>
std::vector<Policy> policies_in_force(const std::map<Id, policy_record<Policy>>& records) {
    std::vector<Policy> policies;
    for (const auto& [name, record] : records) {
        if (record.in_force) {
            policies.push_back(record.last);
        }
    }
    return policies;
}

/// @return the revision and who set it, for example "revision 3, set by note 'n7' of ana".
template <typename Policy>
std::string describe(const policy_record<Policy>& record) {
    const std::string_view verb = record.in_force ? "set" : "withdrawn";
    return "revision " + std::to_string(record.revision.value()) + ", " + std::string{verb} + " by note '" +
           record.changed_by.value() + "' of " + record.author;
}

/// @return why an item cannot be applied to the current record of its name; empty if it can.
template <typename Policy>
std::optional<std::string> revision_conflict(const note_item& item, const policy_record<Policy>* record) {
    const bool adds = item.change == item_change::add;
    if (record == nullptr) {
        if (adds && item.replaces == core::revision_id{}) {
            return std::nullopt;
        }
        return adds ? "never was in force, so it replaces 0" : "is not in force";
    }
    if (adds && record->in_force) {
        return "is already in force at " + describe(*record);
    }
    if (!adds && !record->in_force) {
        return "is not in force: " + describe(*record);
    }
    if (item.replaces != record->revision) {
        return "was written against revision " + std::to_string(item.replaces.value()) + ", but found " +
               describe(*record);
    }
    return std::nullopt;
}

std::optional<std::string> region_conflict(const note_item& item, const team_record* record) {
    const auto& team = std::get<team_policy>(item.policy);
    if (record == nullptr || item.change == item_change::withdraw || team.region == record->last.region) {
        return std::nullopt;
    }
    return "has region '" + record->last.region.value() + "' for good and cannot get '" +
           team.region.value() + "'";
}

template <typename Policy>
void apply_policy(const release_note& note, const note_item& item, policy_record<Policy>& record) {
    if (item.change != item_change::withdraw) {
        record.last = std::get<Policy>(item.policy);
    }
    record.in_force = item.change != item_change::withdraw;
    record.revision = record.revision.next();
    record.changed_by = note.id;
    record.author = note.author;
}

} // namespace

note_result policy_registry::apply(const release_note& note) {
    std::vector<std::string> errors = validate(note);
    if (!errors.empty()) {
        return {.accepted = false, .reason = join_errors(errors)};
    }
    for (std::size_t index = 0; index < note.items.size(); ++index) {
        if (const auto conflict = this->find_conflict(note.items[index])) {
            errors.push_back("items[" + std::to_string(index) + "]: " + *conflict);
        }
    }
    if (!errors.empty()) {
        return {.accepted = false, .reason = join_errors(errors)};
    }
    for (const note_item& item : note.items) {
        this->apply_item(note, item);
    }
    return {.accepted = true, .reason = ""};
}

const pool_policy* policy_registry::pool(const core::pool_id& name) const {
    return in_force(find_record(this->pool_map, name));
}

const pool_policy* policy_registry::last_pool(const core::pool_id& name) const {
    return last_policy(find_record(this->pool_map, name));
}

const team_policy* policy_registry::team(const core::team_id& name) const {
    return in_force(find_record(this->team_map, name));
}

const team_policy* policy_registry::last_team(const core::team_id& name) const {
    return last_policy(find_record(this->team_map, name));
}

core::revision_id policy_registry::revision(const core::pool_id& name) const {
    return revision_of(find_record(this->pool_map, name));
}

core::revision_id policy_registry::revision(const core::team_id& name) const {
    return revision_of(find_record(this->team_map, name));
}

std::vector<pool_policy> policy_registry::pools() const {
    return policies_in_force(this->pool_map);
}

std::vector<team_policy> policy_registry::teams() const {
    return policies_in_force(this->team_map);
}

void policy_registry::restore(pool_record record) {
    core::pool_id name = record.last.name;
    this->pool_map.insert_or_assign(std::move(name), std::move(record));
}

void policy_registry::restore(team_record record) {
    core::team_id name = record.last.name;
    this->team_map.insert_or_assign(std::move(name), std::move(record));
}

std::optional<std::string> policy_registry::find_conflict(const note_item& item) const {
    if (const auto* pool = std::get_if<pool_policy>(&item.policy)) {
        const auto conflict = revision_conflict(item, find_record(this->pool_map, pool->name));
        return conflict ? std::optional{"pool '" + pool->name.value() + "' " + *conflict} : std::nullopt;
    }
    const core::team_id& name = std::get<team_policy>(item.policy).name;
    const team_record* record = find_record(this->team_map, name);
    auto conflict = revision_conflict(item, record);
    if (!conflict) {
        conflict = region_conflict(item, record);
    }
    return conflict ? std::optional{"team '" + name.value() + "' " + *conflict} : std::nullopt;
}

void policy_registry::apply_item(const release_note& note, const note_item& item) {
    if (const auto* pool = std::get_if<pool_policy>(&item.policy)) {
        apply_policy(note, item, this->pool_map[pool->name]);
        return;
    }
    apply_policy(note, item, this->team_map[std::get<team_policy>(item.policy).name]);
}

} // namespace rattanmount::release
