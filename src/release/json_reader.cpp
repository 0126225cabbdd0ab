#include "release/json_reader.h"

#include <utility>

namespace rattanmount::release {

namespace {

const nlohmann::json& null_value() {
    static const nlohmann::json value;
    return value;
}

const nlohmann::json& empty_list() {
    static const nlohmann::json value = nlohmann::json::array();
    return value;
}

} // namespace

json_reader::json_reader(const nlohmann::json& object, std::string place, std::vector<std::string>& faults)
    : object(object), place(std::move(place)), faults(faults) {
    if (!object.is_object()) {
        this->faults.push_back((this->place.empty() ? "the note" : this->place) + ": must be an object");
    }
}

bool json_reader::has(const std::string& key) const {
    return this->object.is_object() && this->object.contains(key);
}

std::string json_reader::text(const std::string& key, const std::string& fallback) {
    const nlohmann::json& found = this->value(key);
    if (found.is_string()) {
        return found.get<std::string>();
    }
    if (this->has(key)) {
        this->fault(key, "must be a text");
    }
    return fallback;
}

std::uint64_t json_reader::whole(const std::string& key, std::uint64_t fallback, std::uint64_t most) {
    const nlohmann::json& found = this->value(key);
    if (found.is_number_unsigned() && found.get<std::uint64_t>() <= most) {
        return found.get<std::uint64_t>();
    }
    if (this->has(key)) {
        this->fault(key, "must be a whole number from 0 to " + std::to_string(most));
    }
    return fallback;
}

double json_reader::number(const std::string& key, double fallback) {
    const nlohmann::json& found = this->value(key);
    if (found.is_number()) {
        return found.get<double>();
    }
    if (this->has(key)) {
        this->fault(key, "must be a number");
    }
    return fallback;
}

bool json_reader::flag(const std::string& key, bool fallback) {
    const nlohmann::json& found = this->value(key);
    if (found.is_boolean()) {
        return found.get<bool>();
    }
    if (this->has(key)) {
        this->fault(key, "must be true or false");
    }
    return fallback;
}

const nlohmann::json& json_reader::list(const std::string& key) {
    const nlohmann::json& found = this->value(key);
    if (found.is_array()) {
        return found;
    }
    if (this->has(key)) {
        this->fault(key, "must be a list");
    }
    return empty_list();
}

const nlohmann::json& json_reader::value(const std::string& key) {
    this->asked.insert(key);
    return this->has(key) ? this->object.at(key) : null_value();
}

std::string json_reader::place_of(const std::string& key) const {
    return this->place.empty() ? key : this->place + "." + key;
}

void json_reader::fault(const std::string& key, const std::string& message) {
    this->faults.push_back(this->place_of(key) + ": " + message);
}

void json_reader::finish() {
    if (!this->object.is_object()) {
        return;
    }
    for (const auto& [key, value] : this->object.items()) {
        if (!this->asked.contains(key)) {
            this->fault(key, "is not known here");
        }
    }
}

} // namespace rattanmount::release
