#include "release/json_reader.h"

#include <utility>

namespace rattanmount::release {

namespace {

const nlohmann::json& null_value() {
    static const nlohmann::json value;
    return value;
}

const nlohmann::json& empty_array() {
    static const nlohmann::json value = nlohmann::json::array();
    return value;
}

} // namespace

json_reader::json_reader(const nlohmann::json& object, std::string path, std::vector<std::string>& errors)
    : object(object), path(std::move(path)), errors(errors) {
    if (!object.is_object()) {
        this->errors.push_back((this->path.empty() ? "the note" : this->path) + ": must be an object");
    }
}

bool json_reader::has(const std::string& key) const {
    return this->object.is_object() && this->object.contains(key);
}

std::string json_reader::string(const std::string& key, const std::string& fallback) {
    const nlohmann::json& found = this->value(key);
    if (found.is_string()) {
        return found.get<std::string>();
    }
    if (this->has(key)) {
        this->add_error(key, "must be a string");
    }
    return fallback;
}

std::uint64_t json_reader::unsigned_integer(const std::string& key, std::uint64_t fallback,
                                            std::uint64_t max) {
    const nlohmann::json& found = this->value(key);
    if (found.is_number_unsigned() && found.get<std::uint64_t>() <= max) {
        return found.get<std::uint64_t>();
    }
    if (this->has(key)) {
        this->add_error(key, "must be a whole number from 0 to " + std::to_string(max));
    }
    return fallback;
}

double json_reader::number(const std::string& key, double fallback) {
    const nlohmann::json& found = this->value(key);
    if (found.is_number()) {
        return found.get<double>();
    }
    if (this->has(key)) {
        this->add_error(key, "must be a number");
    }
    return fallback;
}

bool json_reader::boolean(const std::string& key, bool fallback) {
    const nlohmann::json& found = this->value(key);
    if (found.is_boolean()) {
        return found.get<bool>();
    }
    if (this->has(key)) {
        this->add_error(key, "must be true or false");
    }
    return fallback;
}

const nlohmann::json& json_reader::array(const std::string& key) {
    const nlohmann::json& found = this->value(key);
    if (found.is_array()) {
        return found;
    }
    if (this->has(key)) {
        this->add_error(key, "must be a list");
    }
    return empty_array();
}

const nlohmann::json& json_reader::value(const std::string& key) {
    this->read_keys.insert(key);
    return this->has(key) ? this->object.at(key) : null_value();
}

std::string json_reader::path_of(const std::string& key) const {
    return this->path.empty() ? key : this->path + "." + key;
}

void json_reader::add_error(const std::string& key, const std::string& message) {
    this->errors.push_back(this->path_of(key) + ": " + message);
}

void json_reader::check_unknown_keys() {
    if (!this->object.is_object()) {
        return;
    }
    for (const auto& [key, value] : this->object.items()) {
        if (!this->read_keys.contains(key)) {
            this->add_error(key, "unknown key");
        }
    }
}

} // namespace rattanmount::release
