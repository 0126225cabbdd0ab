#include "release/note_validation.h"

#include <set>
#include <utility>

namespace rattanmount::release {

namespace {

/// Collects the errors of one item.
class item_validator {
public:
    item_validator(std::string path, std::vector<std::string>& errors)
        : path(std::move(path)), errors(errors) {}

    void check(const note_item& item) {
        const bool adds = item.change == item_change::add;
        this->require(adds || item.replaces.value() >= 1, "replaces",
                      "must be the revision that is changed or withdrawn, from 1");
        const bool has_values = item.change != item_change::withdraw;
        if (const auto* pool = std::get_if<pool_policy>(&item.policy)) {
            this->path += ".pool";
            this->check_name("name", pool->name.value());
            if (has_values) {
                this->check_values(*pool);
            }
            return;
        }
        const auto& team = std::get<team_policy>(item.policy);
        this->path += ".team";
        this->check_name("name", team.name.value());
        if (has_values) {
            this->check_values(team);
        }
    }

private:
    void check_values(const pool_policy& pool) {
        this->require(pool.priority <= note_limits::max_priority, "priority",
                      "must be from 0 to " + std::to_string(note_limits::max_priority));
        this->check_weight(pool.weight);
        this->require(pool.max_share > 0.0 && pool.max_share <= 1.0, "max_share",
                      "must be above 0 and at most 1");
        this->require(pool.quick_limit.count() >= 1 && pool.quick_limit <= note_limits::max_quick_limit,
                      "quick_limit", "must be from 1ms to 24h");
        this->require(pool.queue_limit >= 1 && pool.queue_limit <= note_limits::max_queue, "queue_limit",
                      "must be from 1 to " + std::to_string(note_limits::max_queue));
        std::set<core::service_id> seen;
        for (const core::service_id& service : pool.services) {
            this->check_name("services", service.value());
            this->require(seen.insert(service).second, "services",
                          "'" + service.value() + "' is named twice");
        }
    }

    void check_values(const team_policy& team) {
        this->check_name("region", team.region.value());
        this->require(team.quota.valid(), "quota", "has a negative amount");
        this->check_weight(team.weight);
    }

    void check_weight(std::uint32_t weight) {
        this->require(weight >= 1 && weight <= note_limits::max_weight, "weight",
                      "must be from 1 to " + std::to_string(note_limits::max_weight));
    }

    void check_name(const std::string& field, const std::string& name) {
        constexpr std::string_view allowed =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
        this->require(!name.empty(), field, "is missing");
        this->require(name.size() <= note_limits::max_name_bytes, field,
                      "is longer than " + std::to_string(note_limits::max_name_bytes) + " bytes");
        this->require(name.find_first_not_of(allowed) == std::string::npos, field,
                      "has a character other than letters, digits, '-', '_', '.' and ':'");
    }

    void require(bool holds, const std::string& field, const std::string& message) {
        if (!holds) {
            this->errors.push_back(this->path + "." + field + ": " + message);
        }
    }

    std::string path;
    std::vector<std::string>& errors;
};

/// @return a text such as "pool 'previews'" that identifies the pool or team of an item. It is equal for two
/// items only if both are about the same pool or team.
std::string policy_label(const note_item& item) {
    if (const auto* pool = std::get_if<pool_policy>(&item.policy)) {
        return "pool '" + pool->name.value() + "'";
    }
    return "team '" + std::get<team_policy>(item.policy).name.value() + "'";
}

void check_header(const release_note& note, std::vector<std::string>& errors) {
    if (note.id.empty() || note.id.value().size() > note_limits::max_name_bytes) {
        errors.emplace_back("id: must have from 1 to 128 bytes");
    }
    if (note.author.empty() || note.author.size() > note_limits::max_name_bytes) {
        errors.emplace_back("author: must have from 1 to 128 bytes");
    }
    if (note.items.empty() || note.items.size() > note_limits::max_items) {
        errors.push_back("items: must be from 1 to " + std::to_string(note_limits::max_items));
    }
}

} // namespace

std::vector<std::string> validate(const release_note& note) {
    std::vector<std::string> errors;
    check_header(note, errors);
    std::set<std::string> labels;
    for (std::size_t index = 0; index < note.items.size(); ++index) {
        const std::string path = "items[" + std::to_string(index) + "]";
        const note_item& item = note.items[index];
        item_validator{path, errors}.check(item);
        if (!labels.insert(policy_label(item)).second) {
            errors.push_back(path + ": " + policy_label(item) + " has an item before");
        }
    }
    return errors;
}

std::string join_errors(const std::vector<std::string>& errors) {
    std::string text;
    for (const std::string& error : errors) {
        text += text.empty() ? error : "; " + error;
    }
    return text;
}

} // namespace rattanmount::release
