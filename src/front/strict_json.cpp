#include "front/strict_json.h"

#include "core/errors.h"

#include <set>
#include <vector>

namespace rattanmount::front {

namespace {

using nlohmann::json;

constexpr int max_depth = 32;

/// A parser callback that rejects duplicate fields in an object and too deep nesting.
class duplicate_key_check {
public:
    bool operator()(int depth, json::parse_event_t event, const json& parsed) {
        if (depth > max_depth) {
            throw core::invalid_argument("JSON is nested deeper than " + std::to_string(max_depth) +
                                         " levels");
        }
        if (event == json::parse_event_t::object_start) {
            this->open_objects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            this->open_objects.pop_back();
        } else if (event == json::parse_event_t::key) {
            this->check_key(parsed.get_ref<const std::string&>());
        }
        return true;
    }

private:
    void check_key(const std::string& key) {
        if (!this->open_objects.back().insert(key).second) {
            throw core::invalid_argument(key + ": duplicate field");
        }
    }

    std::vector<std::set<std::string>> open_objects;
};

/// @return the JSON library's error message without its prefix "[json.exception.<type>.<number>] ".
std::string message_without_id(const json::exception& error) {
    const std::string message = error.what();
    const auto end_of_number = message.find("] ");
    return end_of_number == std::string::npos ? message : message.substr(end_of_number + 2);
}

} // namespace

json parse_json(const std::string& text, json_comments comments) {
    duplicate_key_check check;
    try {
        return json::parse(
            text,
            [&check](int depth, json::parse_event_t event, const json& parsed) {
                return check(depth, event, parsed);
            },
            true, comments == json_comments::allowed);
    } catch (const json::exception& error) {
        throw core::invalid_argument("not valid JSON: " + message_without_id(error));
    }
}

std::string write_json(const json& value) {
    constexpr int on_one_line = -1;
    return value.dump(on_one_line, ' ', false, json::error_handler_t::replace);
}

} // namespace rattanmount::front
