#include "settings/document_builder.h"

#include <cassert>
#include <utility>

namespace rattanmount::settings {

bool document_builder::null() {
    return this->add(nullptr);
}

bool document_builder::boolean(bool value) {
    return this->add(value);
}

bool document_builder::number_integer(json::number_integer_t value) {
    return this->add(value);
}

bool document_builder::number_unsigned(json::number_unsigned_t value) {
    return this->add(value);
}

bool document_builder::number_float(json::number_float_t value, const std::string& /*text*/) {
    return this->add(value);
}

bool document_builder::string(std::string& value) {
    return this->add(std::move(value));
}

bool document_builder::binary(json::binary_t& /*value*/) {
    return false; // JSON text contains no binary values.
}

bool document_builder::start_object(std::size_t /*count*/) {
    this->open_values.push_back(open_value{.value = json::object()});
    return true;
}

bool document_builder::key(std::string& name) {
    auto& object = this->open_values.back();
    object.name = name;
    object.duplicate = object.value.contains(name);
    if (object.duplicate) {
        this->result.duplicates.push_back({.place = this->path(), .message = "this key is given twice"});
    } else {
        object.value[name] = nullptr;
    }
    return true;
}

bool document_builder::end_object() {
    return this->close();
}

bool document_builder::start_array(std::size_t /*count*/) {
    this->open_values.push_back(open_value{.value = json::array()});
    return true;
}

bool document_builder::end_array() {
    return this->close();
}

bool document_builder::parse_error(std::size_t position, const std::string& /*token*/,
                                   const json::exception& error) {
    this->bytes_read = position;
    this->error_text = error.what();
    return false;
}

document document_builder::take() {
    return std::move(this->result);
}

bool document_builder::add(json value) {
    if (this->open_values.empty()) {
        this->result.root = std::move(value);
        return true;
    }
    auto& parent = this->open_values.back();
    if (parent.value.is_array()) {
        parent.value.push_back(std::move(value));
    } else if (!parent.duplicate) {
        parent.value[parent.name] = std::move(value);
    }
    return true;
}

bool document_builder::close() {
    assert(!this->open_values.empty());
    json value = std::move(this->open_values.back().value);
    this->open_values.pop_back();
    return this->add(std::move(value));
}

std::string document_builder::path() const {
    std::string text;
    for (const auto& each : this->open_values) {
        if (each.value.is_array()) {
            text += "[" + std::to_string(each.value.size()) + "]";
        } else {
            text += (text.empty() ? "" : ".") + each.name;
        }
    }
    return text;
}

} // namespace rattanmount::settings
