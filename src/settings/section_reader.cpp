#include "settings/section_reader.h"

#include "core/duration_text.h"
#include "core/errors.h"
#include "core/job.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace rattanmount::settings {

namespace {

/// Returns for example "cell.regions[].name" for "cell.regions[2].name".
std::string without_indexes(const std::string& path) {
    std::string text;
    bool inside = false;
    for (const char letter : path) {
        inside = inside && letter != ']';
        if (!inside) {
            text += letter;
        }
        inside = inside || letter == '[';
    }
    return text;
}

std::string text_of(double number) {
    std::ostringstream text;
    text << number;
    return text.str();
}

std::string text_of(std::uint32_t number) {
    return std::to_string(number);
}

std::string text_of(core::milliseconds time) {
    return core::format_duration(time);
}

template <typename T>
std::string text_of(range<T> allowed) {
    return text_of(allowed.min) + " to " + text_of(allowed.max);
}

const std::string allowed_name_length =
    text_of(range<std::uint32_t>{1, core::job_limits::max_name_bytes}) + " bytes";

} // namespace

section_reader::section_reader(const nlohmann::json& value, std::string path, reader_output& output)
    : value(value), path(std::move(path)), output(output) {
    if (!this->value.is_object()) {
        this->add_type_fault(this->path, "an object", this->value);
    }
}

void section_reader::required_endpoint(const std::string& key, core::endpoint& target) {
    const auto* found = this->find(key, presence::required, "", "IP number:port");
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        this->add_type_fault(this->path_of(key), "a text such as \"10.0.0.7:7000\"", *found);
        return;
    }
    try {
        target = core::endpoint::parse(found->get<std::string>());
    } catch (const core::invalid_argument& error) {
        this->add_fault(this->path_of(key), error.what());
    }
}

void section_reader::required_count(const std::string& key, std::uint32_t& target,
                                    range<std::uint32_t> allowed) {
    if (const auto* found = this->find(key, presence::required, "", text_of(allowed))) {
        this->read_count(key, *found, target, allowed);
    }
}

void section_reader::name(const std::string& key, std::string& target) {
    if (const auto* found = this->find(key, presence::optional, target, allowed_name_length)) {
        this->read_name(key, *found, target);
    }
}

void section_reader::count(const std::string& key, std::uint32_t& target, range<std::uint32_t> allowed) {
    if (const auto* found = this->find(key, presence::optional, text_of(target), text_of(allowed))) {
        this->read_count(key, *found, target, allowed);
    }
}

void section_reader::ratio(const std::string& key, double& target, range<double> allowed) {
    const auto* found = this->find(key, presence::optional, text_of(target), text_of(allowed));
    if (found == nullptr) {
        return;
    }
    if (!found->is_number()) {
        this->add_type_fault(this->path_of(key), "a number", *found);
        return;
    }
    const auto number = found->get<double>();
    if (number < allowed.min || number > allowed.max) {
        this->add_fault(this->path_of(key), "must be from " + text_of(allowed));
        return;
    }
    target = number;
}

void section_reader::duration(const std::string& key, core::milliseconds& target,
                              range<core::milliseconds> allowed) {
    const auto* found = this->find(key, presence::optional, text_of(target), text_of(allowed));
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        this->add_type_fault(this->path_of(key), "a text with a unit, such as \"250ms\"", *found);
        return;
    }
    try {
        const auto read = core::parse_duration(found->get<std::string>());
        if (read < allowed.min || read > allowed.max) {
            this->add_fault(this->path_of(key), "must be from " + text_of(allowed));
            return;
        }
        target = read;
    } catch (const core::invalid_argument& error) {
        this->add_fault(this->path_of(key), error.what());
    }
}

void section_reader::choice(const std::string& key, const std::string& default_value,
                            const std::string& allowed,
                            const std::function<void(const std::string&)>& parse) {
    const auto* found = this->find(key, presence::optional, default_value, allowed);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        this->add_type_fault(this->path_of(key), "a text", *found);
        return;
    }
    try {
        parse(found->get<std::string>());
    } catch (const core::invalid_argument& error) {
        this->add_fault(this->path_of(key), error.what());
    }
}

void section_reader::section(const std::string& key, const std::function<void(section_reader&)>& read) {
    static const auto empty_section = nlohmann::json::object();
    this->looked_up_keys.push_back(key);
    const bool given = this->value.is_object() && this->value.contains(key);
    this->read_section(given ? this->value.at(key) : empty_section, this->path_of(key), read);
}

void section_reader::required_list(const std::string& key,
                                   const std::function<void(section_reader&)>& read_entry) {
    const auto* found = this->find_list(key);
    if (found == nullptr) {
        return;
    }
    std::size_t index = 0;
    for (const auto& entry : *found) {
        this->read_section(entry, this->path_of(key) + "[" + std::to_string(index) + "]", read_entry);
        ++index;
    }
}

void section_reader::required_names(const std::string& key,
                                    const std::function<void(const std::string&)>& add) {
    const auto* found = this->find_list(key);
    if (found == nullptr) {
        return;
    }
    std::size_t index = 0;
    for (const auto& entry : *found) {
        std::string text;
        this->read_name(key + "[" + std::to_string(index) + "]", entry, text);
        add(text);
        ++index;
    }
}

void section_reader::finish() {
    if (!this->value.is_object()) {
        return;
    }
    for (const auto& [key, unused] : this->value.items()) {
        if (std::find(this->looked_up_keys.begin(), this->looked_up_keys.end(), key) ==
            this->looked_up_keys.end()) {
            this->add_fault(this->path_of(key), "there is no such key");
        }
    }
}

const nlohmann::json* section_reader::find(const std::string& key, presence expected,
                                           const std::string& default_value, const std::string& allowed) {
    this->looked_up_keys.push_back(key);
    const auto place = this->path_of(key);
    const auto known = without_indexes(place);
    const bool seen = std::any_of(this->output.keys.begin(), this->output.keys.end(),
                                  [&](const setting_key& each) { return each.path == known; });
    if (!seen) {
        this->output.keys.push_back({.path = known, .default_value = default_value, .allowed = allowed});
    }
    if (!this->value.is_object()) {
        return nullptr;
    }
    const auto found = this->value.find(key);
    if (found != this->value.end()) {
        return &*found;
    }
    if (expected == presence::required) {
        this->add_fault(place, "this key must be given");
    }
    return nullptr;
}

const nlohmann::json* section_reader::find_list(const std::string& key) {
    const auto* found = this->find(key, presence::required, "", "at least one");
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_array()) {
        this->add_type_fault(this->path_of(key), "a list", *found);
        return nullptr;
    }
    if (found->empty()) {
        this->add_fault(this->path_of(key), "must not be empty");
        return nullptr;
    }
    return found;
}

void section_reader::required_name(const std::string& key, std::string& target) {
    if (const auto* found = this->find(key, presence::required, "", allowed_name_length)) {
        this->read_name(key, *found, target);
    }
}

void section_reader::read_name(const std::string& key, const nlohmann::json& value, std::string& target) {
    if (!value.is_string()) {
        this->add_type_fault(this->path_of(key), "a text", value);
        return;
    }
    const auto& text = value.get_ref<const std::string&>();
    if (text.empty() || text.size() > core::job_limits::max_name_bytes) {
        this->add_fault(this->path_of(key), "must be a text of " + allowed_name_length);
        return;
    }
    target = text;
}

void section_reader::read_count(const std::string& key, const nlohmann::json& value, std::uint32_t& target,
                                range<std::uint32_t> allowed) {
    if (!value.is_number_integer()) {
        this->add_type_fault(this->path_of(key), "a whole number", value);
        return;
    }
    const bool is_too_large = value.is_number_unsigned() && value.get<std::uint64_t>() > allowed.max;
    if (is_too_large || value.get<std::int64_t>() < static_cast<std::int64_t>(allowed.min)) {
        this->add_fault(this->path_of(key), "must be from " + text_of(allowed));
        return;
    }
    target = value.get<std::uint32_t>();
}

void section_reader::read_section(const nlohmann::json& value, const std::string& place,
                                  const std::function<void(section_reader&)>& read) {
    section_reader reader{value, place, this->output};
    read(reader);
    reader.finish();
}

std::string section_reader::path_of(const std::string& key) const {
    return this->path.empty() ? key : this->path + "." + key;
}

void section_reader::add_fault(const std::string& place, std::string message) {
    this->output.faults.push_back({.place = place, .message = std::move(message)});
}

void section_reader::add_type_fault(const std::string& place, const std::string& expected,
                                    const nlohmann::json& value) {
    this->add_fault(place, "must be " + expected + ", not " + value.type_name());
}

} // namespace rattanmount::settings
