#include "release/json_faults.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <set>

namespace rattanmount::release {

namespace {

using nlohmann::json;
using parse_event = json::parse_event_t;

/// Follows the events of the parser and keeps the keys of the objects that are open.
class key_watcher {
public:
    void on_event(parse_event event, const json& parsed) {
        switch (event) {
        case parse_event::object_start:
        case parse_event::array_start:
            this->begin_value();
            this->levels.push_back({.in_array = event == parse_event::array_start});
            break;
        case parse_event::object_end:
        case parse_event::array_end:
            this->levels.pop_back();
            break;
        case parse_event::key:
            this->on_key(parsed.get<std::string>());
            break;
        case parse_event::value:
            this->begin_value();
            break;
        }
    }

    [[nodiscard]] const std::vector<std::string>& faults() const { return this->found; }

private:
    struct level {
        bool in_array = false;
        std::size_t count = 0; ///< Elements begun, for an array.
        std::string key;       ///< The last key, for an object.
        std::set<std::string> seen;
    };

    void begin_value() {
        if (!this->levels.empty() && this->levels.back().in_array) {
            ++this->levels.back().count;
        }
    }

    void on_key(const std::string& key) {
        level& object = this->levels.back();
        object.key = key;
        if (!object.seen.insert(key).second) {
            this->found.push_back(this->place() + ": stands twice");
        }
    }

    [[nodiscard]] std::string place() const {
        std::string text;
        for (const level& one : this->levels) {
            if (one.in_array) {
                text += "[" + std::to_string(one.count - 1) + "]";
            } else {
                text += (text.empty() ? "" : ".") + one.key;
            }
        }
        return text;
    }

    std::vector<level> levels;
    std::vector<std::string> found;
};

} // namespace

std::vector<std::string> repeated_keys(const std::string& json_text) {
    key_watcher watcher;
    const auto on_event = [&watcher](int, parse_event event, json& parsed) {
        watcher.on_event(event, parsed);
        return true;
    };
    constexpr bool throws = false;
    constexpr bool comments = true;
    const json parsed = json::parse(json_text, on_event, throws, comments);
    return parsed.is_discarded() ? std::vector<std::string>{} : watcher.faults();
}

} // namespace rattanmount::release
