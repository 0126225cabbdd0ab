#include "release/duplicate_keys.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <set>

namespace rattanmount::release {

namespace {

using nlohmann::json;
using parse_event = json::parse_event_t;

/// Receives the parser's events and tracks the keys seen in each object that is still open.
class duplicate_key_finder {
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

    [[nodiscard]] const std::vector<std::string>& errors() const { return this->error_list; }

private:
    struct level {
        bool in_array = false;
        std::size_t count = 0; ///< For an array: elements started so far.
        std::string key;       ///< For an object: the most recent key.
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
            this->error_list.push_back(this->path() + ": duplicate key");
        }
    }

    [[nodiscard]] std::string path() const {
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
    std::vector<std::string> error_list;
};

} // namespace

std::vector<std::string> find_duplicate_keys(const std::string& json_text) {
    duplicate_key_finder finder;
    const auto on_event = [&finder](int, parse_event event, json& parsed) {
        finder.on_event(event, parsed);
        return true;
    };
    constexpr bool throws = false;
    constexpr bool comments = true;
    const json parsed = json::parse(json_text, on_event, throws, comments);
    return parsed.is_discarded() ? std::vector<std::string>{} : finder.errors();
}

} // namespace rattanmount::release
