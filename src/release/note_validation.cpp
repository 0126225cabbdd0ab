#include "release/note_check.h"

#include <set>
#include <utility>

namespace rattanmount::release {

namespace {

/// Collects the faults of one item.
class item_checker {
public:
    item_checker(std::string place, std::vector<std::string>& faults)
        : place(std::move(place)), faults(faults) {}

    void check(const note_item& item) {
        const bool adds = item.change == item_change::add;
        this->require(adds || item.replaces.value() >= 1, "replaces",
                      "must be the revision that is changed or withdrawn, from 1");
        const bool whole = item.change != item_change::withdraw;
        if (const auto* pool = std::get_if<pool_policy>(&item.policy)) {
            this->place += ".pool";
            this->check_name("name", pool->name.value());
            if (whole) {
                this->check_values(*pool);
            }
            return;
        }
        const auto& team = std::get<team_policy>(item.policy);
        this->place += ".team";
        this->check_name("name", team.name.value());
        if (whole) {
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
            this->faults.push_back(this->place + "." + field + ": " + message);
        }
    }

    std::string place;
    std::vector<std::string>& faults;
};

/// @return a text that is the same for two items on the same pool or team only.
std::string target_of(const note_item& item) {
    if (const auto* pool = std::get_if<pool_policy>(&item.policy)) {
        return "pool '" + pool->name.value() + "'";
    }
    return "team '" + std::get<team_policy>(item.policy).name.value() + "'";
}

void check_header(const release_note& note, std::vector<std::string>& faults) {
    if (note.id.empty() || note.id.value().size() > note_limits::max_name_bytes) {
        faults.emplace_back("id: must have from 1 to 128 bytes");
    }
    if (note.author.empty() || note.author.size() > note_limits::max_name_bytes) {
        faults.emplace_back("author: must have from 1 to 128 bytes");
    }
    if (note.items.empty() || note.items.size() > note_limits::max_items) {
        faults.push_back("items: must be from 1 to " + std::to_string(note_limits::max_items));
    }
}

} // namespace

std::vector<std::string> faults_of(const release_note& note) {
    std::vector<std::string> faults;
    check_header(note, faults);
    std::set<std::string> targets;
    for (std::size_t index = 0; index < note.items.size(); ++index) {
        const std::string place = "items[" + std::to_string(index) + "]";
        const note_item& item = note.items[index];
        item_checker{place, faults}.check(item);
        if (!targets.insert(target_of(item)).second) {
            faults.push_back(place + ": " + target_of(item) + " has an item before");
        }
    }
    return faults;
}

std::string join_faults(const std::vector<std::string>& faults) {
    std::string text;
    for (const std::string& fault : faults) {
        text += text.empty() ? fault : "; " + fault;
    }
    return text;
}

} // namespace rattanmount::release
